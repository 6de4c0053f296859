//! Service files: a service, its kinds and its teams.

use {
    crate::{
        name::{Kind, Service, Team},
        settings::{
            document::Document,
            fault::{Fault, Faults, Result},
            reader::SectionReader,
            schema::{SectionDef, defaulted, optional, required},
            value::{
                Accels, Cores, Count, Error, Flag, List, Memory, Positive, Share, Size, Span,
                Weight,
            },
        },
        shape::{Level, Shape},
        spec::{KindSpec, Mode, Need, ServiceSpec, Target, TeamSpec, Weights},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Sections of a service file.
pub static SECTIONS: &[SectionDef] = &[SERVICE, KIND, TEAM];

const SERVICE: SectionDef = SectionDef {
    name: "service",
    label: None,
    help: "The service and how it weighs the two measures; once in each file.",
    keys: &[
        required("name", "name", "Name of the service, as in the path of a request."),
        defaulted("completion", "weight", "1", "Weight of completion time in placement."),
        defaulted("fragmentation", "weight", "1", "Weight of fragmentation in placement."),
    ],
};

const KIND: SectionDef = SectionDef {
    name: "kind",
    label: Some("NAME"),
    help: "A kind of request or job and what one needs.",
    keys: &[
        required(
            "mode",
            "request or job",
            "Answered in one exchange, or queued and run as a gang.",
        ),
        defaulted(
            "protected",
            "yes or no",
            "no",
            "Not idempotent: runs at most once for each key.",
        ),
        defaulted("deadline", "duration", "10s", "Time allowed when the caller names none."),
        defaulted("body", "size", "1MiB", "Largest request body."),
        defaulted("slots", "count", "1", "Slots of the instance."),
        defaulted("cores", "cores", "1", "Processor cores, in thousandths at the finest."),
        defaulted("memory", "memory", "256MiB", "Memory, in whole MiB."),
        defaulted(
            "accelerators",
            "0 or a power of two",
            "0",
            "Adjacent accelerators of one worker.",
        ),
        defaulted("gang", "positive count", "1", "Members of a job; all run or none."),
        defaulted("adjacent", "level", "region", "Smallest level that holds all members of a job."),
        defaulted("runtime", "duration", "1m", "Declared run time of a job."),
        optional(
            "checkpoint",
            "duration",
            "no checkpoints",
            "Longest time between two checkpoints.",
        ),
        optional(
            "restart",
            "yes or no",
            "yes, but no for a protected kind",
            "A stopped job may start again from its beginning.",
        ),
        defaulted("target", "share", "99%", "Share of requests that must be good."),
        defaulted("within", "duration", "1s", "Time within which a good answer arrives."),
    ],
};

const TEAM: SectionDef = SectionDef {
    name: "team",
    label: Some("NAME"),
    help: "A team that may call the service.",
    keys: &[
        optional("guarantee", "list of shapes", "none", "Shapes that the team can always claim."),
        defaulted("rate", "positive count", "100", "Requests a second over all entries."),
        defaulted("inflight", "positive count", "64", "Requests in flight over all entries."),
    ],
};

/// Maximum size of a request body in bytes.
pub const BODY_MAX_BYTES: u64 = 32 << 20;
/// Maximum number of members of a gang.
pub const GANG_MAX: u32 = 4_096;
/// Maximum number of cells that one service guarantees to all its teams together.
pub const CELLS_MAX: u64 = 100_000;

/// Keys that only jobs may set.
const JOB_KEYS: &[&str] = &["gang", "adjacent", "runtime", "checkpoint", "restart"];

/// Parses one service file; `file` is the path that faults report.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn parse_service(file: &str, text: &str) -> Result<ServiceSpec> {
    ServiceSpec::try_from(&Document::parse(file, text))
}

impl TryFrom<&Document> for ServiceSpec {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self> {
        let mut faults = document.check(SECTIONS);
        let mut service = None;
        let mut kinds = BTreeMap::new();
        let mut teams = BTreeMap::new();
        for section in &document.sections {
            let Some(def) = SECTIONS.iter().find(|def| def.name == section.name) else { continue };
            let reader = SectionReader::new(document, section, def, &mut faults);
            match section.name.as_str() {
                "service" => service = Some(read_service(reader)),
                "kind" => kinds.extend(read_kind(reader)),
                "team" => teams.extend(read_team(reader)),
                _ => {}
            }
        }
        faults.extend(too_many_cells(document, &teams));
        if service.is_none() {
            faults.push(missing_section(document, "[service]", "add '[service]' with 'name = …'"));
        }
        if !document.sections.iter().any(|section| section.name == "kind") {
            faults.push(missing_section(
                document,
                "[kind NAME]",
                "add one for each kind of request or job",
            ));
        }
        let service = service.flatten();
        let spec = service.map(|(name, weights)| Self { name, weights, kinds, teams });
        Faults(faults).into_result(spec)
    }
}

/// A fault at the first guarantee if the guarantees of all teams exceed [`CELLS_MAX`].
fn too_many_cells(document: &Document, teams: &BTreeMap<Team, TeamSpec>) -> Option<Fault> {
    let shapes = teams.values().flat_map(|team| &team.guarantees);
    let cells: u64 = shapes.map(|shape| u64::from(shape.count)).sum();
    let mut sections = document.sections.iter().filter(|section| section.name == "team");
    let (section, entry) = sections.find_map(|s| Some((s, s.entry("guarantee")?)))?;
    let message =
        format!("and those of the other teams are {cells} cells: at most {CELLS_MAX} are allowed");
    let key = format!("{} guarantee", section.header());
    (cells > CELLS_MAX).then(|| document.fault_at(entry.line, key, message))
}

fn missing_section(document: &Document, section: &str, todo: &str) -> Fault {
    document.fault_at(0, section.to_owned(), format!("is missing: {todo}"))
}

fn read_service(mut reader: SectionReader<'_>) -> Option<(Service, Weights)> {
    let name = reader.get("name");
    let completion = reader.get::<Weight>("completion");
    let fragmentation = reader.get::<Weight>("fragmentation");
    let (completion, fragmentation) = (completion?.0, fragmentation?.0);
    if completion + fragmentation == 0.0 {
        reader.push_fault("completion", "and fragmentation are both 0: raise one".to_owned());
    }
    Some((name?, Weights { completion, fragmentation }))
}

fn read_kind(mut reader: SectionReader<'_>) -> Option<(Kind, KindSpec)> {
    let name = reader.label();
    let mode = reader.get::<Mode>("mode");
    let protected = reader.get::<Flag>("protected");
    let deadline =
        reader.get("deadline").and_then(|span| nonzero_duration(&mut reader, "deadline", span));
    let body = reader.get::<Size>("body");
    let need = read_need(&mut reader);
    let gang = reader.get::<Positive>("gang");
    let adjacent = reader.get::<Level>("adjacent");
    let runtime =
        reader.get("runtime").and_then(|span| nonzero_duration(&mut reader, "runtime", span));
    let checkpoint = read_checkpoint(&mut reader);
    let restart = reader.optional::<Flag>("restart");
    let target = read_target(&mut reader);
    let protected = protected?.0;
    let kind = KindSpec {
        mode: mode?,
        protected,
        deadline: deadline?,
        body: body?.0,
        need: need?,
        gang: gang?.0,
        adjacent: adjacent?,
        runtime: runtime?,
        checkpoint: checkpoint?,
        restart: restart?.map_or(!protected, |flag| flag.0),
        target: target?,
    };
    check_kind(&mut reader, &kind);
    Some((name?, kind))
}

fn read_need(reader: &mut SectionReader<'_>) -> Option<Need> {
    let slots = reader.get::<Count>("slots");
    let cores = reader.get::<Cores>("cores");
    let memory = reader.get::<Memory>("memory");
    let accels = reader.get::<Accels>("accelerators");
    Some(Need { slots: slots?.0, cores: cores?.0, memory: memory?.0, accels: accels?.0 })
}

fn read_checkpoint(reader: &mut SectionReader<'_>) -> Option<Option<Duration>> {
    match reader.optional("checkpoint")? {
        Some(span) => nonzero_duration(reader, "checkpoint", span).map(Some),
        None => Some(None),
    }
}

fn read_target(reader: &mut SectionReader<'_>) -> Option<Target> {
    let share = reader.get::<Share>("target");
    let within = reader.get("within").and_then(|span| nonzero_duration(reader, "within", span));
    Some(Target { share: share?.0, within: within? })
}

/// Rejects a duration of zero.
pub(super) fn nonzero_duration(
    reader: &mut SectionReader<'_>,
    key: &str,
    span: Span,
) -> Option<Duration> {
    if span.0.is_zero() {
        reader.push_fault(key, "is zero: write a longer duration".to_owned());
        return None;
    }
    Some(span.0)
}

/// Reports faults in the combination of several keys.
fn check_kind(reader: &mut SectionReader<'_>, kind: &KindSpec) {
    if kind.mode == Mode::Request {
        for key in JOB_KEYS.iter().filter(|key| reader.has(key)).collect::<Vec<_>>() {
            reader.push_fault(key, "is for jobs: remove it, or write 'mode = job'".to_owned());
        }
    }
    if kind.protected {
        let message = "of a protected kind would run it twice: remove it, or 'protected = yes'";
        if kind.checkpoint.is_some() {
            reader.push_fault("checkpoint", message.to_owned());
        }
        if kind.restart {
            reader.push_fault("restart", message.to_owned());
        }
    }
    check_limits(reader, kind);
    check_adjacent(reader, kind);
}

fn check_limits(reader: &mut SectionReader<'_>, kind: &KindSpec) {
    if kind.body > BODY_MAX_BYTES {
        reader.push_fault("body", format!("is over {} MiB: lower it", BODY_MAX_BYTES >> 20));
    }
    if kind.gang > GANG_MAX {
        reader.push_fault("gang", format!("is over {GANG_MAX}: lower it"));
    }
}

fn check_adjacent(reader: &mut SectionReader<'_>, kind: &KindSpec) {
    let Level::Block(order) = kind.adjacent else { return };
    let needed = u64::from(kind.gang) * u64::from(kind.need.accels);
    if needed == 0 {
        reader.push_fault("adjacent", "names a block, but the kind has no accelerators".to_owned());
    } else if needed > 1 << order {
        let message =
            format!("holds fewer than the gang's {needed} accelerators: take a larger one");
        reader.push_fault("adjacent", message);
    }
}

fn read_team(mut reader: SectionReader<'_>) -> Option<(Team, TeamSpec)> {
    let name = reader.label();
    let guarantees = reader.optional::<List<Shape>>("guarantee");
    let rate = reader.get::<Positive>("rate");
    let inflight = reader.get::<Positive>("inflight");
    let guarantees = guarantees?.map_or_else(Vec::new, |list| list.0);
    Some((name?, TeamSpec { guarantees, rate: rate?.0, inflight: inflight?.0 }))
}

impl TryFrom<&str> for Mode {
    type Error = Error;

    fn try_from(text: &str) -> std::result::Result<Self, Error> {
        match text {
            "request" => Ok(Self::Request),
            "job" => Ok(Self::Job),
            _ => Err(Error::choice(text, "request, job")),
        }
    }
}
