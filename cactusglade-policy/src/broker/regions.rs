//! Regions in which requests may run, as routes and organisations name them.

use std::collections::BTreeSet;

use cactusglade_core::catalog::Catalog;

use super::Broker;
use super::Query;
use super::Strategy;
use super::Upstream;

/// `Residency` says in which regions a request may run; regions are indices into those of the settings,
/// so that a choice among thousands of upstreams compares no names.
#[derive(Clone, Debug)]
pub(super) struct Residency(Option<BTreeSet<usize>>);

impl Residency {
    /// Returns whether an upstream is in a region in which the request may run.
    pub(super) fn allow(&self, upstream: &Upstream) -> bool {
        let Some(regions) = &self.0 else { return true };
        let region = upstream.region;
        region.is_some_and(|region| regions.contains(&region))
    }

    /// Adds the restriction to a list of regions, unless it is empty.
    fn restrict(&mut self, known: &[String], names: &[String]) {
        if names.is_empty() {
            return;
        }
        let regions = names.iter().filter_map(|name| index(known, name));
        let regions = regions.collect::<BTreeSet<_>>();
        let both = match &self.0 {
            Some(before) => before.intersection(&regions).copied().collect(),
            None => regions,
        };
        self.0 = Some(both);
    }
}

fn index(known: &[String], name: &str) -> Option<usize> {
    known.iter().position(|region| region == name)
}

impl<R: Strategy> Broker<R> {
    /// Returns the region of a zone.
    pub(super) fn region(&self, zone: &str) -> Option<usize> {
        index(&self.regions, self.options.regions.get(zone)?)
    }

    /// Returns where a request may run: where both its route and its organisation allow it.
    pub(super) fn residency(&self, query: &Query<'_>) -> Residency {
        let mut residency = Residency(None);
        let route = self.catalog.routes.get(query.route);
        let lists = route.map(|route| &route.regions).into_iter();
        let organisation = query.organisation;
        let organisation = organisation.and_then(|key| self.catalog.organisations.get(key));
        for names in lists.chain(organisation.map(|one| &one.regions)) {
            residency.restrict(&self.regions, names);
        }
        residency
    }

    /// Returns the routes and organisations of a catalog whose requests can't run anywhere, or not as
    /// a pair, as their names with the regions that they name.
    #[must_use]
    pub fn unservable(&self, catalog: &Catalog) -> Vec<String> {
        let knows = |names: &[String]| {
            let mut names = names.iter();
            names.any(|name| index(&self.regions, name).is_some())
        };
        let routes = catalog.routes.iter();
        let routes = routes.map(|(_, route)| (&route.name, &route.regions));
        let routes = routes.filter(|(_, regions)| !regions.is_empty());
        let routes = routes.collect::<Vec<_>>();
        let organisations = catalog.organisations.iter();
        let organisations = organisations.map(|(_, one)| (&one.name, &one.regions));
        let organisations = organisations.filter(|(_, regions)| !regions.is_empty());
        let organisations = organisations.collect::<Vec<_>>();
        let unknown = routes.iter().chain(&organisations);
        let unknown = unknown.filter(|(_, regions)| !knows(regions));
        let unknown = unknown.map(|(name, regions)| format!("{name}: {}", regions.join(",")));
        let pairs = routes
            .iter()
            .flat_map(|route| organisations.iter().map(move |one| (route, one)));
        let apart = pairs.filter(|((_, route), (_, one))| {
            let common = route.iter().filter(|name| one.contains(name));
            knows(route) && knows(one) && !knows(&common.cloned().collect::<Vec<_>>())
        });
        let apart = apart.map(|((route, _), (one, _))| format!("{route} with {one}"));
        unknown.chain(apart).collect()
    }
}
