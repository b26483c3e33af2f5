//! Log lines and the gauge of cold upstreams.

use cactusglade_core::units::Millis;
use cactusglade_policy::broker::Transition;
use cactusglade_policy::warmup::Origin;
use slog::info;

use super::Broker;

impl Broker {
    /// Logs which upstreams have turned cold or warm, and counts the cold ones.
    pub(super) fn log_transitions(&mut self, now: Millis) {
        for turn in self.policy.take_transitions() {
            let (Transition::Cold(key, _) | Transition::Warm(key)) = turn;
            let Some(upstream) = self.policy.upstream(key) else {
                continue;
            };
            let (name, service) = (&upstream.instance.name, &upstream.instance.service);
            match turn {
                Transition::Cold(_, origin) => {
                    let from = match origin {
                        Origin::Registry => "registry",
                        Origin::Evacuation => "evacuation",
                    };
                    info!(self.log, "upstream_cold"; "upstream" => name, "service" => service,
                        "for_ms" => upstream.warmup.left(now).0,
                        "share_per_s" => upstream.warmup.share(), "from" => from);
                }
                Transition::Warm(_) => {
                    info!(self.log, "upstream_warm"; "upstream" => name, "service" => service);
                }
            }
        }
        let cold = i64::try_from(self.policy.cold_upstreams()).unwrap_or(i64::MAX);
        self.metrics.cold_upstreams.set(cold);
    }
}
