//! Settings in INI files: service files, process settings and deployments.
//!
//! A text is parsed into a [`Document`] with line numbers, and a document is converted to a
//! validated type by `TryFrom`. All faults of a document are reported in one run; each names file,
//! line and key.
//!
//! ```
//! use bronzespool_core::settings::parse_service;
//!
//! let text = "[service]\nname = permit-desk\n[kind quota-check]\nmode = request\n";
//! let spec = parse_service("service.ini", text).unwrap();
//! assert_eq!(spec.name.as_str(), "permit-desk");
//!
//! let text = "[service]\nname = permit-desk\n[kind quota-check]\nmod = request\n";
//! let faults = parse_service("service.ini", text).unwrap_err();
//! assert!(faults.to_string().contains("service.ini:4: [kind quota-check] mod"));
//! assert!(faults.to_string().contains("did you mean 'mode'?"));
//! ```

pub mod deployment;
pub mod document;
pub mod fault;
mod nearest;
pub mod process;
mod reader;
pub mod reference;
pub mod schema;
pub mod service;
pub mod service_file;
pub mod timing;
pub mod value;

pub use self::{
    deployment::{Deployment, read_deployment},
    document::Document,
    fault::{Fault, Faults, Result},
    process::{
        AgentSettings, ControlSettings, EntrySettings, JobPolicy, LogLevel, Overload, Peer,
        ProcessSettings, Role, RunTimes, parse_process, read_process,
    },
    service::parse_service,
    service_file::{ServiceFile, merge_services, read_services},
    timing::Timing,
};
