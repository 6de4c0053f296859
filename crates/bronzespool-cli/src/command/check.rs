//! `check`: validates service files offline.

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

/// A deployment and the service files that are checked against it.
struct DeploymentFiles {
    deployment: Deployment,
    files: Vec<ServiceFile>,
}

/// Reads service files and their deployments and reports all faults at once.
pub(super) fn run(paths: &[PathBuf], deployment: Option<&Path>) -> Result<Output> {
    let (config, files) =
        read_services(paths).map_err(|faults| with_deployment_faults(faults, paths, deployment))?;
    let mut faults = Vec::new();
    let mut deployments = Vec::new();
    for (path, files) in group_by_deployment(paths, deployment, files) {
        match read_deployment(&path) {
            Ok(deployment) => deployments.push(DeploymentFiles { deployment, files }),
            Err(found) => faults.extend(found),
        }
    }
    for group in &deployments {
        faults.extend(group.files.iter().flat_map(|file| fit::check(file, &group.deployment)));
        faults.extend(pack::check(&group.files, &group.deployment));
    }
    if faults.is_empty() {
        return Ok(summary(&config, &deployments));
    }
    Err(Error::Faults(Faults(faults)))
}

/// Adds the faults of the deployment files to those of the service files, so that one run lists
/// them all.
fn with_deployment_faults(mut faults: Faults, paths: &[PathBuf], named: Option<&Path>) -> Error {
    let in_paths = || paths.iter().map(|dir| dir.join(DEPLOYMENT_FILE)).filter(|p| p.is_file());
    let files = named.map_or_else(|| in_paths().collect(), |path| vec![path.to_owned()]);
    let deployment_faults = files.iter().filter_map(|file| read_deployment(file).err());
    faults.0.extend(deployment_faults.flatten());
    Error::Faults(faults)
}

/// Groups service files by their deployment file: `named` if given, else the nearest one above the
/// service file. Files without a deployment are left out.
fn group_by_deployment(
    paths: &[PathBuf],
    named: Option<&Path>,
    files: Vec<ServiceFile>,
) -> BTreeMap<PathBuf, Vec<ServiceFile>> {
    let mut deployments: BTreeMap<PathBuf, Vec<ServiceFile>> = BTreeMap::new();
    for file in files {
        let deployment =
            named.map(Path::to_owned).or_else(|| nearest_deployment(paths, Path::new(&file.path)));
        if let Some(deployment) = deployment {
            deployments.entry(deployment).or_default().push(file);
        }
    }
    deployments
}

/// Finds the deployment file in the nearest folder above `file`. The search ends at the folders in
/// `paths`.
fn nearest_deployment(paths: &[PathBuf], file: &Path) -> Option<PathBuf> {
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

fn summary(config: &Config, deployments: &[DeploymentFiles]) -> Output {
    let row = |spec: &ServiceSpec| {
        vec![spec.name.to_string(), spec.kinds.len().to_string(), spec.teams.len().to_string()]
    };
    let rows: Vec<_> = config.services.values().map(row).collect();
    let mut text = table(&["service", "kinds", "teams"], &rows);
    for DeploymentFiles { deployment, .. } in deployments {
        let workers = deployment.places().len();
        text.push_str(&format!("fits the {workers} workers of {}\n", deployment.name));
    }
    text.push_str("no faults");
    let names: Vec<_> = deployments.iter().map(|group| &group.deployment.name).collect();
    let json = json!({ "services": config.services, "deployments": names, "faults": [] });
    Output { json, ..Output::text(text) }
}
