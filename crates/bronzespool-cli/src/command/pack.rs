//! Checks whether the guarantees of all services of a deployment can be met at the same time.

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

/// Packs all guarantees onto the empty deployment less its reserve, and returns a fault for each
/// team whose guarantee does not fit.
pub(super) fn check(files: &[ServiceFile], deployment: &Deployment) -> Vec<Fault> {
    let places = deployment.places().into_iter();
    let topology: Vec<_> = places.map(|place| (place, deployment.capacity)).collect();
    let guarantees: Vec<_> = team_guarantees(files).into_iter().collect();
    let reserve =
        deployment.reserve.map(|shape| FailureReserve { level: shape.level, count: shape.count });
    match pack(&topology, &guarantees, reserve) {
        Ok(_) => Vec::new(),
        Err(conflict) => {
            files.iter().flat_map(|file| conflict_faults(file, &conflict, deployment)).collect()
        }
    }
}

/// Collects the guaranteed shapes of each team over all services.
fn team_guarantees(files: &[ServiceFile]) -> BTreeMap<Team, Vec<Shape>> {
    let mut all: BTreeMap<Team, Vec<Shape>> = BTreeMap::new();
    let specs = files.iter().filter_map(|file| parse_service(&file.path, &file.text).ok());
    for (team, spec) in specs.flat_map(|spec| spec.teams) {
        all.entry(team).or_default().extend(spec.guarantees);
    }
    all
}

/// Returns a fault at the guarantee of each team in the conflict.
fn conflict_faults(
    file: &ServiceFile,
    conflict: &GuaranteeConflict,
    deployment: &Deployment,
) -> Vec<Fault> {
    let document = Document::parse(&file.path, &file.text);
    let is_affected = |label: &str| conflict.teams.iter().any(|team| team.as_str() == label);
    let missing: Vec<_> = conflict.shapes.iter().map(ToString::to_string).collect();
    let reserve = deployment.reserve.map_or_else(String::new, |shape| format!(" less {shape}"));
    let message = format!(
        "does not fit beside the other guarantees, lacks {} on {}{reserve}: lower one",
        missing.join(", "),
        deployment.name
    );
    let mut faults = Vec::new();
    for section in document.sections.iter().filter(|s| s.name == "team" && is_affected(&s.label)) {
        let Some(entry) = section.entry("guarantee") else { continue };
        let key = format!("{} guarantee", section.header());
        let (file, message) = (document.file.clone(), message.clone());
        faults.push(Fault { file, line: entry.line, key, message });
    }
    faults
}
