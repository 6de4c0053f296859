//! Checking service files without the system.

use {
    crate::{
        command::fit,
        error::{Error, Result},
        output::{Output, table},
    },
    bronzespool::core::{
        Config,
        settings::{
            Deployment, Faults, deployment::DEPLOYMENT_FILE, read_deployment, read_services,
        },
    },
    serde_json::json,
    std::path::{Path, PathBuf},
};

/// Reads files and deployment and lists all faults.
pub(super) fn run(paths: &[PathBuf], deployment: Option<&Path>) -> Result<Output> {
    let mut faults = Vec::new();
    let services = read_services(paths).map_err(|more| faults.extend(more)).ok();
    let mut deployments = Vec::new();
    for file in deployment_files(paths, deployment) {
        match read_deployment(&file) {
            Ok(deployment) => deployments.push(deployment),
            Err(more) => faults.extend(more),
        }
    }
    if let Some((config, sources)) = &services {
        let fit = |deployment| fit::check(config, sources, deployment);
        faults.extend(deployments.iter().flat_map(fit));
    }
    match services {
        Some((config, _)) if faults.is_empty() => Ok(show(&config, &deployments)),
        _ => Err(Error::Faults(Faults(faults))),
    }
}

/// The deployment named, else those in the folders.
fn deployment_files(paths: &[PathBuf], named: Option<&Path>) -> Vec<PathBuf> {
    match named {
        Some(path) => vec![path.to_owned()],
        None => paths.iter().map(|dir| dir.join(DEPLOYMENT_FILE)).filter(|p| p.is_file()).collect(),
    }
}

fn show(config: &Config, deployments: &[Deployment]) -> Output {
    let row = |spec: &bronzespool::core::ServiceSpec| {
        vec![spec.name.to_string(), spec.kinds.len().to_string(), spec.teams.len().to_string()]
    };
    let rows: Vec<_> = config.services.values().map(row).collect();
    let mut text = table(&["service", "kinds", "teams"], &rows);
    for deployment in deployments {
        let workers = deployment.places().len();
        text.push_str(&format!("fits the {workers} workers of {}\n", deployment.name));
    }
    text.push_str("no faults");
    let names: Vec<_> = deployments.iter().map(|deployment| &deployment.name).collect();
    let json = json!({ "services": config.services, "deployments": names, "faults": [] });
    Output { json, ..Output::text(text) }
}
