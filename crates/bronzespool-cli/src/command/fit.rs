//! Checks whether the workers of a deployment can hold what each kind needs.

use {
    bronzespool::core::{
        KindSpec, Level, ServiceSpec,
        settings::{Deployment, Document, Fault, ServiceFile},
    },
    std::collections::BTreeMap,
};

/// Millicores in a core; kinds state their need in millicores, workers their size in cores.
const MILLICORES_PER_CORE: u64 = 1_000;

/// Returns a fault for each key of a service file that asks for more than the deployment has.
pub(super) fn check(file: &ServiceFile, deployment: &Deployment) -> Vec<Fault> {
    let document = Document::parse(&file.path, &file.text);
    let Ok(spec) = ServiceSpec::try_from(&document) else { return Vec::new() };
    let mut faults = Vec::new();
    for (name, kind) in &spec.kinds {
        for (key, message) in unmet_needs(kind, deployment) {
            faults.push(fault_at(&document, name.as_str(), key, message));
        }
    }
    faults
}

fn fault_at(document: &Document, kind: &str, key: &str, message: String) -> Fault {
    let mut sections = document.sections.iter();
    let section = sections.find(|section| section.name == "kind" && section.label == kind);
    let line = section.map_or(0, |s| s.entry(key).map_or(s.line, |entry| entry.line));
    let key = format!("[kind {kind}] {key}");
    Fault { file: document.file.clone(), line, key, message }
}

/// Returns the keys of `kind` that no worker, or no topology domain, can satisfy, with a message.
fn unmet_needs(kind: &KindSpec, deployment: &Deployment) -> Vec<(&'static str, String)> {
    let (need, worker) = (&kind.need, &deployment.capacity);
    let sizes = [
        ("slots", u64::from(need.slots), u64::from(worker.slots), ""),
        (
            "cores",
            u64::from(need.cores),
            u64::from(worker.cores) * MILLICORES_PER_CORE,
            " millicores",
        ),
        ("memory", need.memory, worker.memory, " MiB"),
        ("accelerators", u64::from(need.accels), u64::from(worker.accels), ""),
    ];
    let name = &deployment.name;
    let exceeded = sizes.iter().filter(|(_, need, have, _)| need > have);
    let mut unmet: Vec<_> = exceeded
        .map(|(key, need, have, unit)| {
            (*key, format!("asks for {need}{unit}, a worker of {name} has {have}{unit}: lower it"))
        })
        .collect();
    if unmet.is_empty() {
        unmet.extend(unmet_gang(kind, deployment).map(|message| ("gang", message)));
    }
    unmet
}

fn unmet_gang(kind: &KindSpec, deployment: &Deployment) -> Option<String> {
    let fits = members_per_worker(kind, deployment) * largest_domain(kind.adjacent, deployment);
    let gang = u64::from(kind.gang);
    let (level, name) = (kind.adjacent, &deployment.name);
    (gang > fits).then(|| {
        format!(
            "has {gang} members, a {level} of {name} holds {fits}: lower it, or widen 'adjacent'"
        )
    })
}

/// Number of gang members that fit one empty worker. For a gang within one block, the parser of
/// the service file has already checked that the block holds all members.
fn members_per_worker(kind: &KindSpec, deployment: &Deployment) -> u64 {
    let (need, worker) = (&kind.need, &deployment.capacity);
    let limits = [
        (u64::from(need.slots), u64::from(worker.slots)),
        (u64::from(need.cores), u64::from(worker.cores) * MILLICORES_PER_CORE),
        (need.memory, worker.memory),
        (u64::from(need.accels), u64::from(worker.accels)),
    ];
    limits.iter().filter_map(|(need, have)| have.checked_div(*need)).min().unwrap_or(u64::MAX)
}

/// Number of workers in the largest domain of a topology level.
fn largest_domain(level: Level, deployment: &Deployment) -> u64 {
    let racks = || deployment.centers.iter().flat_map(|center| &center.racks);
    let worker_count = |racks: &[u32]| racks.iter().map(|&n| u64::from(n)).sum::<u64>();
    match level {
        Level::Block(_) | Level::Worker => 1,
        Level::Rack => racks().map(|&n| u64::from(n)).max().unwrap_or(0),
        Level::Center => {
            deployment.centers.iter().map(|center| worker_count(&center.racks)).max().unwrap_or(0)
        }
        Level::Region => {
            let mut regions = BTreeMap::new();
            for center in &deployment.centers {
                *regions.entry(&center.region).or_insert(0) += worker_count(&center.racks);
            }
            regions.into_values().max().unwrap_or(0)
        }
    }
}
