//! Finds service files in folders and merges them into one configuration.

use {
    crate::{
        name::Service,
        settings::{
            document::TEXT_MAX_BYTES,
            fault::{Fault, Faults, Result},
            service::parse_service,
        },
        spec::Config,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fs, io,
        path::{Path, PathBuf},
    },
};

/// File name of a service file.
pub const SERVICE_FILE: &str = "service.ini";
/// Maximum depth of nested folders that are searched.
const DEPTH_MAX: u32 = 32;

/// Text of one service file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceFile {
    /// Path of the file, as reported in faults.
    pub path: String,
    /// Contents of the file.
    pub text: String,
}

/// Reads the given files, and every `service.ini` under the given folders, into one configuration
/// with revision 0.
///
/// # Errors
///
/// Returns the faults of all files, including paths that cannot be read.
pub fn read_services(paths: &[PathBuf]) -> Result<(Config, Vec<ServiceFile>)> {
    let mut faults = Vec::new();
    let mut files = Vec::new();
    for path in paths {
        let found_before = files.len();
        if let Err(error) = collect_files(path, 0, &mut files) {
            faults.push(Fault::unreadable(&display_path(path), &error));
        } else if files.len() == found_before {
            let message = format!("holds no {SERVICE_FILE}: name the folder of a service");
            faults.push(Fault::of_file(&display_path(path), message));
        }
    }
    files.sort();
    files.dedup();
    let mut sources = Vec::new();
    for file in &files {
        match read_file(file) {
            Ok(source) => sources.push(source),
            Err(error) => faults.push(Fault::unreadable(&display_path(file), &error)),
        }
    }
    let config = merge_services(&sources).map_err(|file_faults| faults.extend(file_faults));
    Faults(faults).into_result(config.ok().map(|config| (config, sources)))
}

/// Merges the texts of service files into one configuration with revision 0.
///
/// # Errors
///
/// Returns the faults of all texts. For a service that two files declare, the fault names both.
pub fn merge_services(sources: &[ServiceFile]) -> Result<Config> {
    let mut faults = Vec::new();
    let mut config = Config::default();
    let mut declared_in: BTreeMap<Service, &str> = BTreeMap::new();
    for source in sources {
        let spec = match parse_service(&source.path, &source.text) {
            Ok(spec) => spec,
            Err(file_faults) => {
                faults.extend(file_faults);
                continue;
            }
        };
        if let Some(first) = declared_in.insert(spec.name.clone(), &source.path) {
            faults.push(duplicate_service(source, &spec.name, first));
        }
        config.services.insert(spec.name.clone(), spec);
    }
    Faults(faults).into_result(Some(config))
}

fn duplicate_service(source: &ServiceFile, name: &Service, first: &str) -> Fault {
    let message = format!("'{name}' is declared by {first} too: keep one file for each service");
    let is_name = |line: &str| line.split('=').next().is_some_and(|key| key.trim() == "name");
    let line = source.text.lines().position(is_name).map_or(0, |i| i + 1);
    let line = u32::try_from(line).unwrap_or(0);
    Fault { file: source.path.as_str().into(), line, key: "[service] name".to_owned(), message }
}

fn collect_files(path: &Path, depth: u32, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !fs::metadata(path)?.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    if depth == DEPTH_MAX {
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        let name = entry.file_name();
        let kind = entry.file_type()?;
        if kind.is_dir() && !name.to_string_lossy().starts_with('.') {
            collect_files(&entry.path(), depth + 1, files)?;
        } else if kind.is_file() && name == SERVICE_FILE {
            files.push(entry.path());
        }
    }
    Ok(())
}

fn read_file(path: &Path) -> io::Result<ServiceFile> {
    let size = fs::metadata(path)?.len();
    if size > TEXT_MAX_BYTES as u64 {
        return Err(io::Error::other(format!("over {TEXT_MAX_BYTES} bytes")));
    }
    Ok(ServiceFile { path: display_path(path), text: fs::read_to_string(path)? })
}

fn display_path(path: &Path) -> String {
    path.display().to_string()
}
