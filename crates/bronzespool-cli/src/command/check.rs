//! Checking service files without the system.

use {
    crate::{
        command::{fit, pack},
        error::{Error, Result},
        output::{Output, table},
    },
    bronzespool::core::{
        Config, ServiceSpec,
        settings::{
            Deployment, Faults, ServiceFile, deployment::DEPLOYMENT_FILE, read_deployment,
            read_services,
        },
    },
    serde_json::json,
    std::{
        collections::BTreeMap,
        path::{Path, PathBuf},
    },
};

/// A deployment and the service files that it is to hold.
struct Site {
    deployment: Deployment,
    sources: Vec<ServiceFile>,
}

/// Reads files and deployments and lists all faults.
pub(super) fn run(paths: &[PathBuf], deployment: Option<&Path>) -> Result<Output> {
    let (config, sources) =
        read_services(paths).map_err(|faults| add(faults, paths, deployment))?;
    let mut faults = Vec::new();
    let mut sites = Vec::new();
    for (file, sources) in by_deployment(paths, deployment, sources) {
        match read_deployment(&file) {
            Ok(deployment) => sites.push(Site { deployment, sources }),
            Err(more) => faults.extend(more),
        }
    }
    for site in &sites {
        faults.extend(site.sources.iter().flat_map(|source| fit::check(source, &site.deployment)));
        faults.extend(pack::check(&site.sources, &site.deployment));
    }
    if faults.is_empty() {
        return Ok(show(&config, &sites));
    }
    Err(Error::Faults(Faults(faults)))
}

/// Adds the faults of deployments, so that all are listed when service files have faults too.
fn add(mut faults: Faults, paths: &[PathBuf], named: Option<&Path>) -> Error {
    let beside = || paths.iter().map(|dir| dir.join(DEPLOYMENT_FILE)).filter(|p| p.is_file());
    let files = named.map_or_else(|| beside().collect(), |path| vec![path.to_owned()]);
    let more = files.iter().filter_map(|file| read_deployment(file).err());
    faults.0.extend(more.flatten());
    Error::Faults(faults)
}

/// Service files by the deployment that holds them: the one named, else the nearest above the file.
fn by_deployment(
    paths: &[PathBuf],
    named: Option<&Path>,
    sources: Vec<ServiceFile>,
) -> BTreeMap<PathBuf, Vec<ServiceFile>> {
    let mut sites: BTreeMap<PathBuf, Vec<ServiceFile>> = BTreeMap::new();
    for source in sources {
        let found = named.map(Path::to_owned).or_else(|| nearest(paths, Path::new(&source.path)));
        if let Some(file) = found {
            sites.entry(file).or_default().push(source);
        }
    }
    sites
}

/// The deployment in the nearest folder above `file`, up to the folders that were named.
fn nearest(paths: &[PathBuf], file: &Path) -> Option<PathBuf> {
    for folder in file.ancestors().skip(1) {
        let deployment = folder.join(DEPLOYMENT_FILE);
        if deployment.is_file() {
            return Some(deployment);
        }
        if paths.iter().any(|path| path == folder) {
            return None;
        }
    }
    None
}

fn show(config: &Config, sites: &[Site]) -> Output {
    let row = |spec: &ServiceSpec| {
        vec![spec.name.to_string(), spec.kinds.len().to_string(), spec.teams.len().to_string()]
    };
    let rows: Vec<_> = config.services.values().map(row).collect();
    let mut text = table(&["service", "kinds", "teams"], &rows);
    for Site { deployment, .. } in sites {
        let workers = deployment.places().len();
        text.push_str(&format!("fits the {workers} workers of {}\n", deployment.name));
    }
    text.push_str("no faults");
    let names: Vec<_> = sites.iter().map(|site| &site.deployment.name).collect();
    let json = json!({ "services": config.services, "deployments": names, "faults": [] });
    Output { json, ..Output::text(text) }
}
