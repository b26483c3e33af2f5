//! JSON values and base64, as far as the stand-ins need them.

use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(value: &str) -> Self {
        Self::Text(value.to_owned())
    }

    pub fn number(value: u64) -> Self {
        Self::Number(value as f64)
    }

    pub fn object(fields: &[(&str, Json)]) -> Self {
        let fields = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.clone()));
        Self::Object(fields.collect())
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(one, _)| one == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => out.write_str("null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Number(value) => write!(out, "{value}"),
            Self::Text(text) => write_text(out, text),
            Self::List(list) => {
                out.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(out, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                out.write_str("]")
            }
            Self::Object(fields) => {
                out.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    out.write_str(if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for one in text.chars() {
        match one {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            one if (one as u32) < 0x20 => write!(out, "\\u{:04x}", one as u32)?,
            one => write!(out, "{one}")?,
        }
    }
    out.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.space();
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += if found { word.len() } else { 0 };
        found.then_some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|one| b"+-.eE0123456789".contains(one))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(":")?;
            fields.push((name, self.value()?));
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(",")?;
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut list = Vec::new();
        if self.take("]").is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take("]").is_some() {
                return Some(Json::List(list));
            }
            self.take(",")?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let code = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    let one = match code {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(one.encode_utf8(&mut [0; 4]).as_bytes());
                }
                other => {
                    bytes.push(other);
                    self.at += 1;
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes base64; `None` for other text.
pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for one in text.trim_end_matches('=').bytes() {
        let digit = DIGITS.iter().position(|digit| *digit == one)?;
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    Some(bytes)
}
