//! Whether the guarantees of a deployment's services can all be met at once.

use {
    bronzespool::{
        core::{
            Shape, Team,
            settings::{Deployment, Document, Fault, ServiceFile, parse_service},
        },
        schedule::pack::{FailureReserve, GuaranteeConflict, pack},
    },
    std::collections::BTreeMap,
};

/// A fault for each team whose guarantee does not fit, with the deployment's reserve taken away.
pub(super) fn check(sources: &[ServiceFile], deployment: &Deployment) -> Vec<Fault> {
    let places = deployment.places().into_iter();
    let topology: Vec<_> = places.map(|place| (place, deployment.capacity)).collect();
    let guarantees: Vec<_> = guarantees(sources).into_iter().collect();
    let reserve =
        deployment.reserve.map(|shape| FailureReserve { level: shape.level, count: shape.count });
    match pack(&topology, &guarantees, reserve) {
        Ok(_) => Vec::new(),
        Err(clash) => {
            sources.iter().flat_map(|source| faults(source, &clash, deployment)).collect()
        }
    }
}

/// Guaranteed shapes of each team over all services.
fn guarantees(sources: &[ServiceFile]) -> BTreeMap<Team, Vec<Shape>> {
    let mut all: BTreeMap<Team, Vec<Shape>> = BTreeMap::new();
    let specs = sources.iter().filter_map(|source| parse_service(&source.path, &source.text).ok());
    for (team, spec) in specs.flat_map(|spec| spec.teams) {
        all.entry(team).or_default().extend(spec.guarantees);
    }
    all
}

/// A fault at the guarantee of each team that the clash names.
fn faults(source: &ServiceFile, clash: &GuaranteeConflict, deployment: &Deployment) -> Vec<Fault> {
    let document = Document::parse(&source.path, &source.text);
    let named = |label: &str| clash.teams.iter().any(|team| team.as_str() == label);
    let missing: Vec<_> = clash.shapes.iter().map(ToString::to_string).collect();
    let reserve = deployment.reserve.map_or_else(String::new, |shape| format!(" less {shape}"));
    let message = format!(
        "with the other guarantees lacks {} on {}{reserve}: lower one",
        missing.join(", "),
        deployment.name
    );
    let mut faults = Vec::new();
    for section in document.sections.iter().filter(|s| s.name == "team" && named(&s.label)) {
        let Some(entry) = section.entry("guarantee") else { continue };
        let key = format!("{} guarantee", section.header());
        let (file, message) = (document.file.clone(), message.clone());
        faults.push(Fault { file, line: entry.line, key, message });
    }
    faults
}
