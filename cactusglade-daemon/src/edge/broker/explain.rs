//! Answers operators who ask where a request would be sent now.

use std::fmt::Write;

use cactusglade_core::call::Prompt;
use cactusglade_core::errors::Kind;
use cactusglade_policy::broker::Candidate;
use cactusglade_policy::broker::Explanation;
use cactusglade_policy::broker::Query;
use kameo::Reply;
use kameo::message::Context;
use kameo::message::Message;

use super::Broker;

/// `Explain` asks where a request would be sent now, without sending it.
#[derive(Clone, Debug)]
pub struct Explain {
    /// Host name of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Name of the organisation that would send it, where there is one.
    pub organisation: Option<String>,
    /// Prompt of a model request.
    pub prompt: Option<Prompt>,
}

/// `Listing` is the explanation as text, one key=value line for each upstream.
#[derive(Clone, Debug, Reply)]
pub struct Listing(pub String);

/// `Unexplained` is the error where a request would be refused before an upstream is selected.
#[derive(Clone, Debug, Reply)]
pub struct Unexplained(pub Kind);

impl Message<Explain> for Broker {
    type Reply = Result<Listing, Unexplained>;

    async fn handle(
        &mut self,
        explain: Explain,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let catalog = self.policy.catalog().clone();
        let route = catalog.route(&explain.host, &explain.path);
        let route = route.ok_or(Unexplained(Kind::UnknownRoute))?;
        let organisation = explain.organisation.as_deref();
        let organisation = organisation.map(|name| catalog.organisations.find(name));
        let organisation = match organisation {
            Some(None) => return Err(Unexplained(Kind::Unauthenticated)),
            Some(found) => found,
            None => None,
        };
        let now = self.clock.now();
        let timeout = catalog.routes.get(route).map(|route| route.timeout);
        let query = Query {
            route,
            organisation,
            prompt: explain.prompt.as_ref(),
            tried: &[],
            is_retry: false,
            arrived: now,
            deadline: now + timeout.unwrap_or_default(),
            draw: rand::random(),
        };
        let explanation = self.policy.explain(now, &query);
        let explanation = explanation.map_err(Unexplained)?;
        let route = catalog.routes.get(route);
        let route = route.map_or("-", |route| route.name.as_str());
        Ok(Listing(self.account(route, &explanation)))
    }
}

impl Broker {
    /// Returns an explanation as text: the route, the selected upstream, those that it was compared
    /// with, and the others with the reason for which they were not compared.
    fn account(&self, route: &str, explanation: &Explanation) -> String {
        let catalog = self.policy.catalog();
        let service = catalog.services.get(explanation.service);
        let service = service.map_or("-", |service| service.name.as_str());
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "route={route} service={service} version={} compared={} excluded={}{}",
            catalog.version,
            explanation.compared.len(),
            explanation.excluded.len(),
            if explanation.waits { " waits=true" } else { "" }
        );
        let mut order = (0..explanation.compared.len()).collect::<Vec<_>>();
        order.sort_by_key(|index| explanation.selected != Some(*index));
        for index in order {
            let (candidate, cost) = &explanation.compared[index];
            let is_selected = explanation.selected == Some(index);
            let outcome = if is_selected { "selected" } else { "compared" };
            self.describe(&mut text, outcome, candidate, *cost);
        }
        for (key, reason) in &explanation.excluded {
            let upstream = self.policy.upstream(*key);
            let name = upstream.map_or("-", |upstream| upstream.instance.name.as_str());
            let _ = writeln!(text, "excluded upstream={name} reason={}", reason.as_str());
        }
        text
    }

    fn describe(&self, text: &mut String, outcome: &str, candidate: &Candidate, cost: f64) {
        let upstream = self.policy.upstream(candidate.upstream);
        let (name, zone) = upstream.map_or(("-", "-"), |upstream| {
            (&*upstream.instance.name, &*upstream.instance.zone)
        });
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{outcome} upstream={name} zone={zone} cost_ms={cost:.1} load={:.1} slots={} \
             backlog_tokens={:.0} uncached_tokens={:.0} pace={:.2} failures={:.3} latency_ms={:.1}",
            candidate.load,
            candidate.slots,
            candidate.backlog,
            candidate.uncached,
            candidate.pace,
            candidate.failures,
            candidate.latency
        );
    }
}
