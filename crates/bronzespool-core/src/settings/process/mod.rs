//! Process settings: the role, location and addresses of one daemon.

mod schema;
pub(super) mod sections;
pub(super) mod value;

pub use self::schema::{ACCELS_MAX, PEERS_MAX, SECTIONS};

use {
    self::{
        schema::PROCESS,
        sections::{read_agent, read_control, read_entry, read_process_section},
    },
    crate::{
        name::{Cluster, Instance, Service},
        place::{Capacity, Place},
        settings::{
            document::Document,
            fault::{Fault, Faults, Result},
            reader::SectionReader,
            timing::{self, Timing},
        },
        shape::Shape,
    },
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A replica of the log that also serves the sessions of entries and agents.
    Control,
    /// Serves HTTP to callers and operators.
    Entry,
    /// Runs beside an endpoint instance.
    Agent,
    /// All three roles in one process.
    All,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogLevel {
    /// Errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also state changes.
    Info,
    /// Also decisions.
    Debug,
    /// Also messages.
    Trace,
}

/// Run times that decisions on jobs of steps use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RunTimes {
    /// Those that the jobs declare.
    #[default]
    Declared,
    /// Those that the leader learns from runs, with the speeds of workers.
    Learned,
}

/// What the leader does about more jobs of steps than can be served in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Overload {
    /// Nothing: all jobs are accepted, and wait in the order of priority and age.
    #[default]
    Ignored,
    /// It rejects what cannot be served in time, orders the rest by the shares of teams, and limits
    /// preemption.
    Managed,
}

/// How jobs of steps are scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct JobPolicy {
    /// Run times that decisions use.
    pub run_times: RunTimes,
    /// What is done about overload.
    pub overload: Overload,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Role of the process.
    pub role: Role,
    /// Cluster that the process belongs to.
    pub cluster: Cluster,
    /// Location of its instance.
    pub place: Place,
    /// Least severe level that is logged.
    pub log: LogLevel,
    /// Folder of the replicated log; always present with `control`.
    pub data: Option<PathBuf>,
    /// Time limit of a graceful shutdown.
    pub grace: Duration,
    /// Memory of the process in MiB.
    pub memory: u64,
    /// Present for the roles control and all.
    pub control: Option<ControlSettings>,
    /// Present for the roles entry and all.
    pub entry: Option<EntrySettings>,
    /// Present for the roles agent and all.
    pub agent: Option<AgentSettings>,
    /// Intervals and time limits.
    pub timing: Timing,
}

/// Settings of a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Address at which other processes reach this one.
    pub listen: SocketAddr,
    /// Control instances of the cluster's first start, including this one.
    pub peers: Vec<Peer>,
    /// Capacity kept free of guarantees, as a reserve for failures.
    pub reserve: Option<Shape>,
    /// Run times that decisions on jobs of steps use.
    pub run_times: RunTimes,
    /// What is done about overload of jobs of steps.
    pub overload: Overload,
}

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Address at which callers reach this process.
    pub listen: SocketAddr,
    /// Address at which operators reach this process; if absent, `listen` serves them as well.
    pub operators: Option<SocketAddr>,
    /// Control instances, at least one.
    pub control: Vec<SocketAddr>,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Address at which entries reach this process.
    pub listen: SocketAddr,
    /// Address at which the endpoint serves HTTP.
    pub endpoint: SocketAddr,
    /// Address of the platform's worker interface; without it, no jobs run here.
    pub worker: Option<SocketAddr>,
    /// Control instances, at least one.
    pub control: Vec<SocketAddr>,
    /// Services that the endpoint serves, at least one.
    pub services: Vec<Service>,
    /// Capacity of the endpoint instance.
    pub capacity: Capacity,
}

/// A control instance and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: Instance,
    /// Address at which other processes reach it.
    pub addr: SocketAddr,
}

impl Role {
    /// Whether a process of this role also has the role `other`.
    pub fn includes(self, other: Self) -> bool {
        self == Self::All || self == other
    }
}

impl LogLevel {
    /// The level as written in settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Reads the process settings in the file `path`.
///
/// # Errors
///
/// Returns all faults of the file, or one fault if the file cannot be read.
pub fn read_process(path: &Path) -> Result<ProcessSettings> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse_process(&file, &text),
        Err(error) => Err(Fault::unreadable(&file, &error).into()),
    }
}

/// Parses process settings; `file` is the path that faults report.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn parse_process(file: &str, text: &str) -> Result<ProcessSettings> {
    ProcessSettings::try_from(&Document::parse(file, text))
}

/// Sections parsed so far; `None` where a section is missing or has faults.
#[derive(Default)]
struct ParsedSections {
    process: Option<ProcessSettings>,
    control: Option<ControlSettings>,
    entry: Option<EntrySettings>,
    agent: Option<AgentSettings>,
    timing: Option<Timing>,
}

impl TryFrom<&Document> for ProcessSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self> {
        let mut faults = document.check(SECTIONS);
        let mut sections =
            ParsedSections { timing: Some(Timing::default()), ..ParsedSections::default() };
        if let Some(section) = document.section("process") {
            sections.process =
                read_process_section(SectionReader::new(document, section, &PROCESS, &mut faults));
        }
        faults.extend(document.missing_sections(&["process"]));
        let identity = sections.process.as_ref().map(|p| (p.role, p.place.instance.clone()));
        for section in &document.sections {
            let Some(def) = SECTIONS.iter().find(|def| def.name == section.name) else { continue };
            let reader = SectionReader::new(document, section, def, &mut faults);
            match section.name.as_str() {
                "control" => sections.control = read_control(reader, identity.as_ref()),
                "entry" => sections.entry = read_entry(reader, document),
                "agent" => sections.agent = read_agent(reader, document),
                "timing" => sections.timing = timing::read(reader),
                _ => {}
            }
        }
        if let Some((role, _)) = identity {
            check_roles(document, role, &mut faults);
        }
        Faults(faults).into_result(sections.into_settings())
    }
}

impl ParsedSections {
    fn into_settings(self) -> Option<ProcessSettings> {
        let Self { process, control, entry, agent, timing } = self;
        Some(ProcessSettings { control, entry, agent, timing: timing?, ..process? })
    }
}

/// Reports sections that the role needs but lacks, and sections that it does not use.
fn check_roles(document: &Document, role: Role, faults: &mut Vec<Fault>) {
    let section_roles =
        [("control", Role::Control), ("entry", Role::Entry), ("agent", Role::Agent)];
    for (name, section_role) in section_roles {
        let header = format!("[{name}]");
        match document.section(name) {
            None if role.includes(section_role) => {
                let message = "is missing: this role needs it".to_owned();
                faults.push(document.fault_at(0, header, message));
            }
            Some(section) if !role.includes(section_role) => {
                let message = "is not for this role: remove it, or change 'role'".to_owned();
                faults.push(document.fault_at(section.line, header, message));
            }
            _ => {}
        }
    }
}
