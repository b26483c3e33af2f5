//! Limits the retries that a daemon sends to one service.
//!
//! All daemons share one budget: a ratio of the requests plus a slack. Each daemon keeps to the
//! ratio of its own requests and its share of the slack, so that no messages are needed.

use std::collections::VecDeque;

use cactusglade_core::units::Millis;

/// Number of spans in a window; the window slides by one span.
const SPANS_PER_WINDOW: u64 = 10;
/// Share of the allowance that is used; the rest covers requests that end in another window.
const ALLOWANCE_SHARE: f64 = 0.8;

/// `Bounds` defines the budget of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Retries allowed per window beyond the ratio.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    number: u64,
    requests: f64,
    retries: f64,
}

/// `Budget` counts the requests and retries of one service over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    spans: VecDeque<Span>,
}

impl Budget {
    /// Records a request.
    pub fn record_request(&mut self, now: Millis, bounds: &Bounds) {
        self.span(now, bounds).requests += 1.0;
    }

    /// Takes one retry if this daemon's share of the budget allows, and returns whether it did.
    ///
    /// The slack is divided equally among `daemons`.
    pub fn try_retry(&mut self, now: Millis, bounds: &Bounds, daemons: f64) -> bool {
        self.span(now, bounds);
        let newest = self.spans.back().map_or(0, |span| span.number);
        // Retries are counted over one span more, since the oldest lies partly in the window.
        let retries = self.spans.iter().map(|span| span.retries).sum::<f64>();
        let in_window = self
            .spans
            .iter()
            .filter(|span| span.number + SPANS_PER_WINDOW > newest);
        let requests = in_window.map(|span| span.requests).sum::<f64>();
        let limit = (bounds.ratio * requests + bounds.slack / daemons.max(1.0)) * ALLOWANCE_SHARE;
        let allowed = retries + 1.0 <= limit;
        if allowed {
            self.span(now, bounds).retries += 1.0;
        }
        allowed
    }

    fn span(&mut self, now: Millis, bounds: &Bounds) -> &mut Span {
        let number = now.0 / (bounds.window.0 / SPANS_PER_WINDOW).max(1);
        while self
            .spans
            .front()
            .is_some_and(|span| span.number + SPANS_PER_WINDOW < number)
        {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|span| span.number != number) {
            self.spans.push_back(Span {
                number,
                ..Span::default()
            });
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
}
