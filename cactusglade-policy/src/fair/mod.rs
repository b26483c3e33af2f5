//! Start-time fair queueing by organisation.
//!
//! Each organisation has a virtual time that grows by the tokens served to it, divided by its
//! weight; the waiting organisation with the least virtual time is served next. Tokens served by
//! other daemons of the zone count too, so that sending to many hosts gains nothing. An
//! organisation that was idle resumes at the virtual time of the queue, so that idling earns no
//! credit. See `docs/DESIGN.md` for the fairness bound.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cactusglade_core::arena::Organisation;
use cactusglade_core::meta::Class;

/// Number of grants of which one goes to deferrable work while both classes wait, so that it is
/// not starved.
const GRANTS_PER_DEFERRABLE: u64 = 10;

/// Units of virtual time per token at weight 1, so that integers suffice.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Maximum lead of an organisation by service from other daemons, in tokens.
const MAX_LEAD_TOKENS: u64 = 20_000;

#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    virtual_time: u64,
    interactive: VecDeque<T>,
    deferrable: VecDeque<T>,
}

impl<T> Flow<T> {
    fn queue(&mut self, class: Class) -> &mut VecDeque<T> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Deferrable => &mut self.deferrable,
        }
    }

    fn has_waiting(&self, class: Class) -> bool {
        match class {
            Class::Interactive => !self.interactive.is_empty(),
            Class::Deferrable => !self.deferrable.is_empty(),
        }
    }

    fn is_waiting(&self) -> bool {
        self.has_waiting(Class::Interactive) || self.has_waiting(Class::Deferrable)
    }
}

/// `Queue` orders the waiting requests of all organisations.
#[derive(Debug)]
pub struct Queue<T> {
    flows: BTreeMap<Organisation, Flow<T>>,
    virtual_time: u64,
    grants: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_time: 0,
            grants: 0,
        }
    }
}

impl<T: Copy + PartialEq> Queue<T> {
    /// Sets the weight of an organisation.
    pub fn set_weight(&mut self, organisation: Organisation, weight: u64) {
        self.flow(organisation).weight = weight.max(1);
    }

    /// Removes an organisation and returns its waiting requests.
    pub fn remove_organisation(&mut self, organisation: Organisation) -> Vec<T> {
        let flow = self.flows.remove(&organisation);
        flow.map(|flow| {
            flow.interactive
                .into_iter()
                .chain(flow.deferrable)
                .collect()
        })
        .unwrap_or_default()
    }

    /// Appends a request to its organisation's queue.
    pub fn push(&mut self, organisation: Organisation, class: Class, item: T) {
        let virtual_time = self.virtual_time;
        let flow = self.flow(organisation);
        if !flow.is_waiting() {
            flow.virtual_time = flow.virtual_time.max(virtual_time);
        }
        flow.queue(class).push_back(item);
    }

    /// Puts a request that was granted before at the front of its organisation's queue.
    pub fn push_front(&mut self, organisation: Organisation, class: Class, item: T) {
        self.flow(organisation).queue(class).push_front(item);
    }

    /// Returns the next request without removing it.
    ///
    /// Interactive requests go before deferrable ones, except for one grant in ten.
    #[must_use]
    pub fn peek(&self) -> Option<(Organisation, Class, T)> {
        let deferrable_first = self.grants % GRANTS_PER_DEFERRABLE == GRANTS_PER_DEFERRABLE - 1;
        let order = if deferrable_first {
            [Class::Deferrable, Class::Interactive]
        } else {
            [Class::Interactive, Class::Deferrable]
        };
        order.into_iter().find_map(|class| self.peek_class(class))
    }

    fn peek_class(&self, class: Class) -> Option<(Organisation, Class, T)> {
        let (organisation, flow) = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.has_waiting(class))
            .min_by_key(|(_, flow)| flow.virtual_time)?;
        let queue = match class {
            Class::Interactive => &flow.interactive,
            Class::Deferrable => &flow.deferrable,
        };
        queue.front().map(|item| (*organisation, class, *item))
    }

    /// Removes the request that [`peek`](Self::peek) returns and charges its estimated tokens.
    pub fn pop(&mut self, tokens: u64) -> Option<T> {
        let (organisation, class, _) = self.peek()?;
        self.grants += 1;
        let flow = self.flow(organisation);
        let item = flow.queue(class).pop_front();
        let start_tag = flow.virtual_time;
        flow.virtual_time += tokens * UNITS_PER_TOKEN / flow.weight;
        self.virtual_time = self.virtual_time.max(start_tag);
        item
    }

    /// Adds the difference between the real and the charged cost, which may be negative.
    pub fn correct(&mut self, organisation: Organisation, tokens: i64) {
        let Some(flow) = self.flows.get_mut(&organisation) else {
            return;
        };
        let amount = tokens.unsigned_abs() * UNITS_PER_TOKEN / flow.weight;
        flow.virtual_time = if tokens < 0 {
            flow.virtual_time.saturating_sub(amount)
        } else {
            flow.virtual_time + amount
        };
    }

    /// Charges tokens served by other daemons, up to a bounded lead.
    ///
    /// Without the bound, an organisation that was the only user of the zone for a while would wait
    /// here until the others had caught up.
    pub fn charge_remote(&mut self, organisation: Organisation, tokens: u64) {
        let base = self.virtual_time;
        let flow = self.flow(organisation);
        let charged = flow.virtual_time + tokens * UNITS_PER_TOKEN / flow.weight;
        let bound = base + MAX_LEAD_TOKENS * UNITS_PER_TOKEN / flow.weight;
        flow.virtual_time = flow.virtual_time.max(charged.min(bound));
    }

    /// Removes a waiting request and returns whether it was found.
    pub fn remove(&mut self, organisation: Organisation, item: T) -> bool {
        let Some(flow) = self.flows.get_mut(&organisation) else {
            return false;
        };
        let before = flow.interactive.len() + flow.deferrable.len();
        flow.interactive.retain(|other| *other != item);
        flow.deferrable.retain(|other| *other != item);
        before > flow.interactive.len() + flow.deferrable.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows
            .values()
            .map(|flow| flow.interactive.len() + flow.deferrable.len())
            .sum()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.flows.values().any(Flow::is_waiting)
    }

    fn flow(&mut self, organisation: Organisation) -> &mut Flow<T> {
        let virtual_time = self.virtual_time;
        self.flows.entry(organisation).or_insert_with(|| Flow {
            weight: 1,
            virtual_time,
            interactive: VecDeque::new(),
            deferrable: VecDeque::new(),
        })
    }
}
