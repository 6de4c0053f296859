//! Shapes: a number of cells at one level of the topology.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Largest order of a block, which is 2^6 accelerators of one worker.
pub const ORDER_MAX: u8 = 6;

/// Result of parsing a shape or level.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a valid shape.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {0:?} is not a shape: write a count and a level, such as '2 x worker' or '4 x block-2'
    Form(String),
    /// {0:?} is not a level: use block-1, block-2, … block-64, worker, rack, center or region
    Level(String),
    /// a block of {0} accelerators is not a power of two up to 64
    Block(String),
    /// a shape needs at least one cell
    Zero,
}

impl std::error::Error for Error {}

/// A level of the topology, from the smallest cell to the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Level {
    /// A block of `2^order` adjacent accelerators of one worker.
    Block(u8),
    /// A whole worker.
    Worker,
    /// A whole rack.
    Rack,
    /// A whole data centre.
    Center,
    /// A whole region.
    Region,
}

impl Level {
    /// The block of `accels` accelerators, or `None` unless `accels` is a power of two up to 64.
    pub const fn block(accels: u32) -> Option<Self> {
        if accels.is_power_of_two() && accels <= 1 << ORDER_MAX {
            return Some(Self::Block(accels.trailing_zeros() as u8));
        }
        None
    }
}

impl TryFrom<&str> for Level {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        match text {
            "worker" => Ok(Self::Worker),
            "rack" => Ok(Self::Rack),
            "center" => Ok(Self::Center),
            "region" => Ok(Self::Region),
            _ => {
                let Some(size) = text.strip_prefix("block-") else {
                    return Err(Error::Level(text.to_owned()));
                };
                size.parse().ok().and_then(Self::block).ok_or_else(|| Error::Block(size.to_owned()))
            }
        }
    }
}

impl TryFrom<String> for Level {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::try_from(text.as_str())
    }
}

impl From<Level> for String {
    fn from(level: Level) -> Self {
        level.to_string()
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Block(order) => write!(f, "block-{}", 1_u32 << order),
            Self::Worker => f.write_str("worker"),
            Self::Rack => f.write_str("rack"),
            Self::Center => f.write_str("center"),
            Self::Region => f.write_str("region"),
        }
    }
}

/// A number of cells of one level; the unit of guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Shape {
    /// Level of each cell.
    pub level: Level,
    /// Number of cells, at least one.
    pub count: u32,
}

impl Shape {
    /// Creates a shape of `count` cells of `level`.
    pub const fn new(level: Level, count: u32) -> Self {
        Self { level, count }
    }
}

impl TryFrom<&str> for Shape {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let (count, level) = text.split_once(" x ").ok_or_else(|| Error::Form(text.to_owned()))?;
        let count = count.trim().parse().map_err(|_| Error::Form(text.to_owned()))?;
        if count == 0 {
            return Err(Error::Zero);
        }
        Ok(Self::new(Level::try_from(level.trim())?, count))
    }
}

impl TryFrom<String> for Shape {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::try_from(text.as_str())
    }
}

impl From<Shape> for String {
    fn from(shape: Shape) -> Self {
        shape.to_string()
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} x {}", self.count, self.level)
    }
}
