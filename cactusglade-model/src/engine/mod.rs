//! A model of an engine: slots, prefill of one prompt after the other, and a prompt cache.

use std::collections::BTreeMap;

use cactusglade_core::call::Part;

/// Engine time of a decoding step without and per running request, in milliseconds.
const STEP_MS: f64 = 3.8;
const STEP_MS_PER_REQUEST: f64 = 0.1;

/// Time over which the share of the time spent with prompts is taken, in milliseconds, and its bound.
const READING_SPAN_MS: f64 = 1_000.0;
const MAX_READING_SHARE: f64 = 0.8;

/// `Profile` holds the figures of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Prompt tokens read per millisecond.
    pub prefill_per_ms: f64,
    /// Prompt tokens that the cache holds.
    pub cache_tokens: u64,
    /// Whether streams wait while prompts are read, as they do between the chunks of a prompt.
    pub interleaves: bool,
}

/// `Run` is how an engine processes one request, with times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Time at which the engine begins with the request.
    pub start: f64,
    /// Time of the first token.
    pub first_token: f64,
    /// Time of the last token.
    pub end: f64,
    /// Time to read the prompt.
    pub prefill: f64,
    /// Prompt tokens that were found in the cache.
    pub cached: u64,
}

impl Run {
    /// A request at an engine that doesn't answer.
    pub const NEVER: Self = Self {
        start: f64::INFINITY,
        first_token: f64::INFINITY,
        end: f64::INFINITY,
        prefill: 0.0,
        cached: 0,
    };
}

/// `Engine` is the state of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    profile: Profile,
    /// Ends of the accepted requests, in order.
    ends: Vec<f64>,
    prefill_free: f64,
    /// Times from which and to which prompts are read.
    readings: Vec<(f64, f64)>,
    /// Last use and length of the cached parts.
    cache: BTreeMap<u64, (f64, u64)>,
    /// Whether it accepts connections and answers.
    pub is_dark: bool,
    /// Factor of all times at this moment; 1 is as usual.
    pub stretch: f64,
    /// Requests accepted so far.
    pub accepted: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub const fn new(profile: Profile) -> Self {
        Self {
            profile,
            ends: Vec::new(),
            prefill_free: 0.0,
            readings: Vec::new(),
            cache: BTreeMap::new(),
            is_dark: false,
            stretch: 1.0,
            accepted: 0,
        }
    }

    /// Returns the number of running and waiting requests.
    #[must_use]
    pub fn load(&self, now: f64) -> u64 {
        self.ends.iter().filter(|end| **end > now).count() as u64
    }

    /// Accepts a request with these prompt parts, which generates `tokens`.
    #[allow(clippy::cast_precision_loss)]
    pub fn accept(&mut self, now: f64, parts: &[Part], tokens: u64) -> Run {
        let slot_free = self.admit(now);
        let start = slot_free.max(self.prefill_free).max(now);
        let cached = self.cached(parts);
        let prompt = parts.iter().map(|part| part.tokens).sum::<u64>();
        let prefill = self.stretch * (prompt - cached) as f64 / self.profile.prefill_per_ms;
        let running = self.ends.len().min(self.profile.slots) as f64;
        let step = self.stretch * (STEP_MS + STEP_MS_PER_REQUEST * running);
        let step = step * self.interleaving(now, start, prefill);
        let first_token = start + prefill + step;
        let end = first_token + tokens as f64 * step;
        self.prefill_free = start + prefill;
        self.remember(now, parts);
        self.insert_end(end);
        Run {
            start,
            first_token,
            end,
            prefill,
            cached,
        }
    }

    /// Returns the factor by which reading prompts lengthens the steps of streams that run when a prompt
    /// has been read, which began at `start`.
    fn interleaving(&mut self, now: f64, start: f64, prefill: f64) -> f64 {
        if !self.profile.interleaves {
            return 1.0;
        }
        let end = start + prefill;
        let begin = end - READING_SPAN_MS;
        self.readings
            .retain(|(_, end)| *end > now - READING_SPAN_MS);
        self.readings.push((start, end));
        let times = self.readings.iter();
        let times = times.map(|(from, to)| (to.min(end) - from.max(begin)).max(0.0));
        let share = times.sum::<f64>() / READING_SPAN_MS;
        1.0 / (1.0 - share.min(MAX_READING_SHARE))
    }

    /// Accepts a request without a prompt, which takes `work_ms` and is answered at its end.
    pub fn accept_plain(&mut self, now: f64, work_ms: f64) -> Run {
        let start = self.admit(now);
        let end = start + self.stretch * work_ms;
        self.insert_end(end);
        Run {
            start,
            first_token: end,
            end,
            prefill: 0.0,
            cached: 0,
        }
    }

    /// Drops a request that the engine has not begun with, whose caller has left; one that it has
    /// begun with runs to its end. Requests behind it keep their times, and later ones gain.
    pub fn cancel(&mut self, now: f64, run: &Run) {
        let position = self.ends.iter().position(|end| *end >= run.end);
        if let Some(position) = position.filter(|_| run.start > now) {
            self.ends.remove(position);
            self.prefill_free -= run.prefill;
        }
    }

    /// Returns whether a request would run at once.
    #[must_use]
    pub fn has_room(&self, now: f64) -> bool {
        !self.is_dark && self.load(now) < self.profile.slots as u64
    }

    /// Counts a request, and returns when it gets a slot.
    fn admit(&mut self, now: f64) -> f64 {
        self.ends.retain(|end| *end > now);
        self.accepted += 1;
        match self.ends.len().checked_sub(self.profile.slots) {
            None => now,
            Some(queued) => self.ends[queued],
        }
    }

    fn insert_end(&mut self, end: f64) {
        let position = self.ends.partition_point(|other| *other < end);
        self.ends.insert(position, end);
    }

    /// Returns the tokens at the head of a prompt that the cache holds.
    #[must_use]
    pub fn cached(&self, parts: &[Part]) -> u64 {
        let known = parts
            .iter()
            .take_while(|part| self.cache.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    fn remember(&mut self, now: f64, parts: &[Part]) {
        for part in parts {
            self.cache.insert(part.id, (now, part.tokens));
        }
        let mut held = self.cache.values().map(|(_, tokens)| tokens).sum::<u64>();
        while held > self.profile.cache_tokens {
            let oldest = self.cache.iter().min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let Some((id, (_, tokens))) = oldest.map(|(id, entry)| (*id, *entry)) else {
                return;
            };
            self.cache.remove(&id);
            held -= tokens;
        }
    }
}
