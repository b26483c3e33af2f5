//! What the capacity plan needs to know of the upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::capacity;
use cactusglade_policy::capacity::Zone;
use cactusglade_policy::roster::Totals;
use kameo::Reply;
use kameo::message::Context;
use kameo::message::Message;

use super::Broker;
use super::messages::add_total;

/// `Survey` requests the [`Inventory`].
#[derive(Clone, Copy, Debug)]
pub struct Survey;

/// `Inventory` is the number of upstreams that can be sent requests.
#[derive(Clone, Debug, Default, Reply)]
pub struct Inventory {
    /// Upstreams that are neither leaving nor removed, outside the evacuated zones, by service and zone.
    pub available: BTreeMap<String, BTreeMap<String, Zone>>,
    /// Zones that the operators evacuate; their upstreams are not counted.
    pub evacuated: BTreeSet<String>,
    /// Mean time that prompts recently waited at these upstreams in milliseconds, by service.
    pub delays: BTreeMap<String, f64>,
    /// Upstreams' worth of work that limited ones of these don't take, by service.
    pub impaired: BTreeMap<String, f64>,
}

impl Message<Survey> for Broker {
    type Reply = Inventory;

    #[allow(clippy::cast_precision_loss)]
    async fn handle(&mut self, _: Survey, _: &mut Context<Self, Inventory>) -> Inventory {
        let now = self.clock.now();
        let evacuated = self.policy.evacuated_zones().map(str::to_owned);
        let mut inventory = Inventory {
            evacuated: evacuated.collect(),
            ..Inventory::default()
        };
        let upstreams = self.policy.upstreams();
        for (_, upstream) in upstreams.filter(|(_, one)| one.is_available(now)) {
            let instance = &upstream.instance;
            let service = instance.service.clone();
            let withheld = self.policy.withheld_version(now, &service);
            let is_withheld = withheld.is_some_and(|version| instance.version == version);
            *inventory.delays.entry(service.clone()).or_default() += upstream.delay(now);
            if let Some(limit) = upstream.throttle.rate() {
                let impairment = capacity::impairment(limit, self.work_per_attempt(&service));
                *inventory.impaired.entry(service.clone()).or_default() += impairment;
            }
            let zones = inventory.available.entry(service).or_default();
            let zone = zones.entry(instance.zone.clone()).or_default();
            if is_withheld {
                zone.withheld += 1;
            } else if instance.reclaimable {
                zone.reclaimable += 1;
            } else {
                zone.on_demand += 1;
            }
        }
        for (service, delay) in &mut inventory.delays {
            let zones = inventory.available.get(service).into_iter().flatten();
            let count = zones.map(|(_, zone)| zone.on_demand + zone.reclaimable);
            *delay /= count.sum::<u64>().max(1) as f64;
        }
        inventory
    }
}

impl Broker {
    /// Records the spread of paces in the metrics, for services of the catalog where one is known.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn record_paces(&self, now: Millis) {
        let mut paces = BTreeMap::<&str, Vec<f64>>::new();
        let upstreams = self.policy.upstreams();
        for (_, upstream) in upstreams.filter(|(_, one)| one.is_available(now)) {
            if upstream.pace.is_known(now) {
                let paces = paces.entry(&upstream.instance.service).or_default();
                paces.push(upstream.pace.factor(now));
            }
        }
        for (key, service) in self.policy.catalog().services.iter() {
            let gauge = |statistic: &str, value: f64| {
                let labels = [service.name.as_str(), statistic];
                self.metrics
                    .paces
                    .spread
                    .with_label_values(&labels)
                    .set(value);
            };
            if let Some(paces) = paces.get(service.name.as_str()) {
                let least = paces.iter().copied().fold(f64::INFINITY, f64::min);
                let greatest = paces.iter().copied().fold(0.0, f64::max);
                gauge("least", least);
                gauge("mean", paces.iter().sum::<f64>() / paces.len() as f64);
                gauge("greatest", greatest);
            }
            if let Some(speed) = self.policy.prefill_speed(key) {
                let speeds = &self.metrics.paces.prefill_speeds;
                speeds.with_label_values(&[&service.name]).set(speed);
            }
        }
    }

    /// Counts an attempt to the grant's service.
    pub(super) fn count_attempt(&mut self, grant: &Grant) {
        if let Some(object) = self.policy.catalog().services.get(grant.service) {
            add_total(&mut self.sent, &object.name, 1);
        }
    }

    /// Returns the mean work of this daemon's attempts to a service, in milliseconds of one
    /// upstream's time.
    #[allow(clippy::cast_precision_loss)]
    fn work_per_attempt(&self, service: &str) -> f64 {
        let name = affinity::short_hash(service);
        let total = |totals: &Totals| totals.get(&name).copied().unwrap_or_default() as f64;
        total(&self.work) / total(&self.sent).max(1.0)
    }
}
