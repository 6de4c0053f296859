//! Deployment files: the data centres, racks and workers that service files are checked against.

use {
    crate::{
        name::{Center, Instance, Rack, Region, Service},
        place::{Capacity, Place},
        settings::{
            document::Document,
            fault::{Fault, Faults, Result},
            process::{sections::read_capacity, value::Reserve},
            reader::SectionReader,
            schema::{SectionDef, defaulted, required},
            value::{List, Positive},
        },
        shape::Shape,
    },
    std::{fs, path::Path},
};

/// File name of a deployment file.
pub const DEPLOYMENT_FILE: &str = "deployment.ini";
/// Maximum number of workers in a deployment.
pub const WORKERS_MAX: u64 = 100_000;

/// Sections of a deployment file.
pub static SECTIONS: &[SectionDef] = &[DEPLOYMENT, WORKER, CENTER];

const DEPLOYMENT: SectionDef = SectionDef {
    name: "deployment",
    label: None,
    help: "The deployment; once in each file.",
    keys: &[
        required("name", "name", "Name of the deployment."),
        defaulted("control", "positive count", "3", "Control instances."),
        defaulted("entries", "positive count", "2", "Entry instances."),
        defaulted(
            "reserve",
            "shape or none",
            "1 x worker",
            "Capacity that guarantees leave free for failures.",
        ),
    ],
};

const WORKER: SectionDef = SectionDef {
    name: "worker",
    label: None,
    help: "What each worker offers; once in each file.",
    keys: &[
        defaulted("slots", "positive count", "8", "Requests that its endpoint serves at once."),
        defaulted("connections", "positive count", "64", "Connections that its endpoint allows."),
        required("cores", "positive count", "Processor cores."),
        required("memory", "memory", "Memory, in whole MiB."),
        defaulted("accelerators", "count up to 64", "0", "Accelerators."),
    ],
};

const CENTER: SectionDef = SectionDef {
    name: "center",
    label: Some("NAME"),
    help: "A data centre.",
    keys: &[
        required("region", "name", "Region of the data centre."),
        required("racks", "list of positive counts", "Workers of each rack."),
    ],
};

/// Instances, data centres and workers of one deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: Service,
    /// Number of control instances.
    pub control: u32,
    /// Number of entry instances.
    pub entries: u32,
    /// Capacity kept free of guarantees, as a reserve for failures.
    pub reserve: Option<Shape>,
    /// Capacity of each worker.
    pub capacity: Capacity,
    /// Data centres in file order.
    pub centers: Vec<CenterSpec>,
}

/// One data centre of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CenterSpec {
    /// Region of the data centre.
    pub region: Region,
    /// Name of the data centre.
    pub name: Center,
    /// Number of workers in each rack.
    pub racks: Vec<u32>,
}

impl Deployment {
    /// Location of every worker, in the order of data centres and racks.
    ///
    /// Racks are named `CENTER-r1`, workers `CENTER-r1-w1`; workers whose name would be too long
    /// are omitted.
    pub fn places(&self) -> Vec<Place> {
        self.centers.iter().flat_map(CenterSpec::places).collect()
    }
}

impl CenterSpec {
    fn places(&self) -> impl Iterator<Item = Place> + '_ {
        let racks = self.racks.iter().enumerate();
        racks.flat_map(move |(r, &workers)| (1..=workers).filter_map(move |w| self.place(r + 1, w)))
    }

    fn place(&self, rack: usize, worker: u32) -> Option<Place> {
        let rack = format!("{}-r{rack}", self.name);
        let instance = format!("{rack}-w{worker}");
        Some(Place {
            region: self.region.clone(),
            center: self.name.clone(),
            rack: Rack::try_from(rack).ok()?,
            instance: Instance::try_from(instance).ok()?,
        })
    }
}

/// Reads the deployment in the file `path`.
///
/// # Errors
///
/// Returns all faults of the file, or one fault if the file cannot be read.
pub fn read_deployment(path: &Path) -> Result<Deployment> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Deployment::try_from(&Document::parse(&file, &text)),
        Err(error) => Err(Fault::unreadable(&file, &error).into()),
    }
}

impl TryFrom<&Document> for Deployment {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self> {
        let mut faults = document.check(SECTIONS);
        let mut deployment = None;
        let mut capacity = None;
        let mut centers = Vec::new();
        for section in &document.sections {
            let Some(def) = SECTIONS.iter().find(|def| def.name == section.name) else { continue };
            let mut reader = SectionReader::new(document, section, def, &mut faults);
            match section.name.as_str() {
                "deployment" => deployment = read_deployment_section(reader),
                "worker" => capacity = read_capacity(&mut reader),
                "center" => centers.extend(read_center(reader)),
                _ => {}
            }
        }
        faults.extend(document.missing_sections(&["deployment", "worker", "center"]));
        let worker_count =
            |center: &CenterSpec| center.racks.iter().map(|&n| u64::from(n)).sum::<u64>();
        if centers.iter().map(worker_count).sum::<u64>() > WORKERS_MAX {
            let message = format!("have over {WORKERS_MAX} workers: split the deployment");
            faults.push(document.fault_at(0, "[center NAME] racks".to_owned(), message));
        }
        let build = || {
            let DeploymentSection { name, control, entries, reserve } = deployment?;
            Some(Self { name, control, entries, reserve, capacity: capacity?, centers })
        };
        Faults(faults).into_result(build())
    }
}

struct DeploymentSection {
    name: Service,
    control: u32,
    entries: u32,
    reserve: Option<Shape>,
}

fn read_deployment_section(mut reader: SectionReader<'_>) -> Option<DeploymentSection> {
    let name = reader.get("name");
    let control = reader.get::<Positive>("control");
    let entries = reader.get::<Positive>("entries");
    let reserve = reader.get::<Reserve>("reserve");
    Some(DeploymentSection {
        name: name?,
        control: control?.0,
        entries: entries?.0,
        reserve: reserve?.0,
    })
}

fn read_center(mut reader: SectionReader<'_>) -> Option<CenterSpec> {
    let name = reader.label();
    let region = reader.get("region");
    let racks = reader.get::<List<Positive>>("racks");
    let racks = racks?.0.into_iter().map(|count| count.0).collect();
    Some(CenterSpec { region: region?, name: name?, racks })
}
