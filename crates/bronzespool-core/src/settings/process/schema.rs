//! Definitions of the sections and keys of process settings.

use crate::settings::{
    schema::{SectionDef, defaulted, optional, required},
    timing,
};

/// Maximum number of control instances.
pub const PEERS_MAX: usize = 7;
/// Maximum number of accelerators in a worker.
pub const ACCELS_MAX: u32 = 64;

/// Sections of process settings.
pub static SECTIONS: &[SectionDef] = &[PROCESS, CONTROL, ENTRY, AGENT, timing::SECTION];

pub(super) const PROCESS: SectionDef = SectionDef {
    name: "process",
    label: None,
    help: "What this process is and where its instance stands; required.",
    keys: &[
        required(
            "role",
            "control, entry, agent or all",
            "Role; `all` is the three in one process.",
        ),
        defaulted("cluster", "name", "bronzespool", "Processes of another cluster are refused."),
        required("instance", "name", "Name of this instance, its own in the cluster."),
        required("region", "name", "Region of the data centre."),
        required("center", "name", "Data centre of the instance."),
        required("rack", "name", "Rack of the instance."),
        defaulted("log", "error, warn, info, debug or trace", "info", "Least severe level logged."),
        optional("data", "folder", "a fault for control and all", "Folder of the replicated log."),
        defaulted("grace", "duration", "20s", "Longest time that a graceful stop takes."),
        defaulted(
            "memory",
            "memory",
            "256MiB",
            "Memory of this process; bounds of bodies, calls and stored jobs are shares of it.",
        ),
    ],
};

pub(super) const CONTROL: SectionDef = SectionDef {
    name: "control",
    label: None,
    help: "A control instance; required for the roles control and all.",
    keys: &[
        required("listen", "ip:port", "Where other processes reach this one; not 0.0.0.0 or [::]."),
        optional(
            "peers",
            "list of instance@ip:port",
            "this instance alone",
            "Control instances of the cluster's first start, this one among them; at most 7.",
        ),
        defaulted(
            "reserve",
            "shape or none",
            "1 x worker",
            "Capacity that guarantees leave free for failures.",
        ),
        defaulted(
            "run-times",
            "declared or learned",
            "declared",
            "Run times that decisions on jobs of steps use; the same at all control instances.",
        ),
        defaulted(
            "overload",
            "ignored or managed",
            "ignored",
            "What is done about overload of jobs of steps; the same at all control instances.",
        ),
    ],
};

pub(super) const ENTRY: SectionDef = SectionDef {
    name: "entry",
    label: None,
    help: "An entry instance; required for the roles entry and all.",
    keys: &[
        required("listen", "ip:port", "Where callers reach this process over HTTP."),
        optional(
            "operators",
            "ip:port",
            "at `listen` as well",
            "Where operators reach it over HTTP.",
        ),
        optional(
            "control",
            "list of ip:port",
            "a fault, but its own for all",
            "Control instances.",
        ),
    ],
};

pub(super) const AGENT: SectionDef = SectionDef {
    name: "agent",
    label: None,
    help: "An agent beside an endpoint instance; required for the roles agent and all.",
    keys: &[
        required("listen", "ip:port", "Where entries reach this process; not 0.0.0.0 or [::]."),
        required("endpoint", "ip:port", "Where the endpoint serves HTTP."),
        optional("worker", "ip:port", "no jobs run here", "The platform's worker interface."),
        optional(
            "control",
            "list of ip:port",
            "a fault, but its own for all",
            "Control instances.",
        ),
        required("service", "list of names", "Services that the endpoint serves."),
        defaulted("slots", "positive count", "8", "Requests that the endpoint serves at once."),
        defaulted("connections", "positive count", "64", "Connections that the endpoint allows."),
        required("cores", "positive count", "Processor cores of the instance."),
        required("memory", "memory", "Memory of the instance, in whole MiB."),
        defaulted("accelerators", "count up to 64", "0", "Accelerators of the instance."),
    ],
};
