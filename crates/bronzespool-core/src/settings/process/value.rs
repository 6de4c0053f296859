//! Values that only occur in process settings and deployments.

use {
    super::{LogLevel, Overload, Peer, Role, RunTimes},
    crate::{
        name::Instance,
        settings::value::{Error, ReachableAddr, Result},
        shape::{self, Shape},
    },
    std::path::PathBuf,
};

/// Capacity kept free of guarantees, or `none`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::settings) struct Reserve(pub(in crate::settings) Option<Shape>);

/// The path of a folder.
pub(super) struct Folder(pub(super) PathBuf);

impl TryFrom<&str> for Folder {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Err(Error::Folder);
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<&str> for Role {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        match text {
            "control" => Ok(Self::Control),
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            "all" => Ok(Self::All),
            _ => Err(Error::choice(text, "control, entry, agent, all")),
        }
    }
}

impl TryFrom<&str> for RunTimes {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        match text {
            "declared" => Ok(Self::Declared),
            "learned" => Ok(Self::Learned),
            _ => Err(Error::choice(text, "declared, learned")),
        }
    }
}

impl TryFrom<&str> for Overload {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        match text {
            "ignored" => Ok(Self::Ignored),
            "managed" => Ok(Self::Managed),
            _ => Err(Error::choice(text, "ignored, managed")),
        }
    }
}

impl TryFrom<&str> for LogLevel {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let levels = [Self::Error, Self::Warn, Self::Info, Self::Debug, Self::Trace];
        let level = levels.into_iter().find(|level| level.as_str() == text);
        level.ok_or_else(|| Error::choice(text, "error, warn, info, debug, trace"))
    }
}

impl TryFrom<&str> for Peer {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let fault = || Error::Peer(text.to_owned());
        let (instance, addr) = text.split_once('@').ok_or_else(fault)?;
        let instance = Instance::try_from(instance).map_err(|_| fault())?;
        Ok(Self { instance, addr: ReachableAddr::try_from(addr).map_err(|_| fault())?.0 })
    }
}

impl TryFrom<&str> for Reserve {
    type Error = shape::Error;

    fn try_from(text: &str) -> shape::Result<Self> {
        if text == "none" {
            return Ok(Self(None));
        }
        Shape::try_from(text).map(|shape| Self(Some(shape)))
    }
}
