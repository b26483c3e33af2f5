//! HTTP/1.1 over blocking sockets: what the stand-ins receive, and one request of a client.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(one, _)| *one == name)?;
        Some(decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (one, _) => out.push(one),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(one, _)| one.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    Some(
        String::from_utf8_lossy(&line)
            .trim_end_matches('\r')
            .to_owned(),
    )
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let line = read_line(reader)?;
    let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    read_line(reader)?;
    Some(bytes)
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; zero where no head of an answer came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
    /// Time to the first byte of the body.
    pub first: Option<Duration>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer within a time limit.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(String, String)],
        body: &[u8],
        limit: Duration,
    ) -> Answer {
        let mut text = format!(
            "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(body);
        let mut answer = Answer::default();
        let _ = self.reader.get_ref().set_read_timeout(Some(limit));
        if self.reader.get_mut().write_all(&bytes).is_ok() {
            let _ = self.read(&mut answer);
        }
        answer
    }

    fn read(&mut self, answer: &mut Answer) -> Option<()> {
        let began = Instant::now();
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        answer.headers = read_headers(&mut self.reader)?;
        answer.status = status;
        if answer.header("transfer-encoding").is_some() {
            loop {
                let chunk = read_chunk(&mut self.reader)?;
                answer.first.get_or_insert(began.elapsed());
                if chunk.is_empty() {
                    break;
                }
                answer.body.extend(chunk);
            }
        } else if let Some(length) = answer.header("content-length") {
            let mut body = vec![0; length.parse().ok()?];
            self.reader.read_exact(&mut body).ok()?;
            answer.first = Some(began.elapsed());
            answer.body = body;
        } else {
            self.reader.read_to_end(&mut answer.body).ok()?;
        }
        answer.is_whole = true;
        Some(())
    }
}
