//! Validated values: durations, sizes, shares, numbers, addresses and lists.

use {
    displaydoc::Display,
    std::{net::SocketAddr, time::Duration},
};

/// Result of parsing a value.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a valid value of the expected format.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {0:?} is not a duration: write a whole number and ms, s, m or h, such as 250ms
    Span(String),
    /// {0:?} is not a size: write a whole number and B, KiB, MiB, GiB or TiB, such as 64KiB
    Size(String),
    /// {0:?} is not a size in whole MiB: write a whole number and MiB, GiB or TiB
    Memory(String),
    /// {0:?} is not a share: write a percentage above 0% and below 100%, such as 99.5%
    Share(String),
    /// {0:?} is not a switch: write yes or no
    Flag(String),
    /// {0:?} is not a count: write a whole number from 0 to 4294967295
    Count(String),
    /// {0:?} is not a positive count: write a whole number from 1 to 4294967295
    Positive(String),
    /// {0:?} is not a weight: write a number from 0 to 1000000, such as 1.5
    Weight(String),
    /// {0:?} is not a number of cores: write a number with at most three decimals, such as 0.5
    Cores(String),
    /// {0:?} is not a number of adjacent accelerators: write 0 or a power of two up to 64
    Accels(String),
    /// {0:?} is not an address: write an IP number and a port, such as 10.0.0.7:7100
    Addr(String),
    /// {0:?} is not an address that others reach: write an IP number and a port, not 0.0.0.0 or port 0
    ReachableAddr(String),
    /// {0:?} is not a control instance: write its name and address, such as control-1@10.0.0.7:7100
    Peer(String),
    /// the path is empty: name a folder
    Folder,
    /// {text:?} is not one of {choices}
    Choice {
        /// The text.
        text: String,
        /// The valid texts.
        choices: &'static str,
    },
    /// item {item} of the list: {message}
    Item {
        /// Position of the item, from 1.
        item: usize,
        /// Fault of that item.
        message: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// The error for a `text` that is none of `choices`.
    pub(super) fn choice(text: &str, choices: &'static str) -> Self {
        Self::Choice { text: text.to_owned(), choices }
    }
}

/// Maximum weight.
const WEIGHT_MAX: f64 = 1e6;
/// Maximum number of accelerators in a block.
const ACCELS_MAX: u32 = 64;
/// Bytes in a MiB.
const MIB: u64 = 1 << 20;

/// Splits a text into a whole number and its unit.
fn number_and_unit(text: &str) -> Option<(u64, &str)> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let number = text[..split].parse().ok()?;
    Some((number, text[split..].trim_start()))
}

macro_rules! values {
    ($($(#[$doc:meta])* $name:ident($inner:ty) $read:ident $error:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
        pub struct $name(pub $inner);

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self> {
                $read(text).map(Self).ok_or_else(|| Error::$error(text.to_owned()))
            }
        }
    )*};
}

values! {
    /// A duration: `250ms`, `2s`, `5m`, `3h`.
    Span(Duration) read_span Span;
    /// A size in bytes: `64KiB`, `128GiB`.
    Size(u64) read_size Size;
    /// A size in whole MiB.
    Memory(u64) read_memory Memory;
    /// A share between 0 and 1, both excluded: `99.5%`.
    Share(f64) read_share Share;
    /// `yes` or `no`.
    Flag(bool) read_flag Flag;
    /// A whole number.
    Count(u32) read_count Count;
    /// A whole number of at least one.
    Positive(u32) read_positive Positive;
    /// A weight of at least zero.
    Weight(f64) read_weight Weight;
    /// Thousandths of a processor core: `0.5` is 500.
    Cores(u32) read_cores Cores;
    /// Adjacent accelerators: zero or a power of two up to 64.
    Accels(u32) read_accels Accels;
    /// An IP address and a port.
    Addr(SocketAddr) read_addr Addr;
    /// An IP address and a port that others can connect to: neither a wildcard address nor port 0.
    ReachableAddr(SocketAddr) read_reachable_addr ReachableAddr;
}

fn read_span(text: &str) -> Option<Duration> {
    let (number, unit) = number_and_unit(text)?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(millis).map(Duration::from_millis)
}

fn read_size(text: &str) -> Option<u64> {
    let (number, unit) = number_and_unit(text)?;
    let shift = match unit {
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        "TiB" => 40,
        _ => return None,
    };
    number.checked_mul(1 << shift)
}

fn read_memory(text: &str) -> Option<u64> {
    read_size(text).filter(|bytes| bytes.is_multiple_of(MIB)).map(|bytes| bytes / MIB)
}

fn read_decimal(text: &str) -> Option<f64> {
    let plain = text.chars().all(|c| c.is_ascii_digit() || c == '.');
    text.parse().ok().filter(|n: &f64| plain && n.is_finite())
}

fn read_share(text: &str) -> Option<f64> {
    let percent = read_decimal(text.strip_suffix('%')?.trim_end())?;
    (percent > 0.0 && percent < 100.0).then_some(percent / 100.0)
}

fn read_flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn read_count(text: &str) -> Option<u32> {
    let plain = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

fn read_positive(text: &str) -> Option<u32> {
    read_count(text).filter(|&n| n > 0)
}

fn read_weight(text: &str) -> Option<f64> {
    read_decimal(text).filter(|&n| n <= WEIGHT_MAX)
}

fn read_cores(text: &str) -> Option<u32> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    if part.is_empty() || part.len() > 3 {
        return None;
    }
    let scale = 10_u32.pow(3 - u32::try_from(part.len()).ok()?);
    let thousandths = read_count(part)?.checked_mul(scale)?;
    read_count(whole)?.checked_mul(1_000)?.checked_add(thousandths)
}

fn read_accels(text: &str) -> Option<u32> {
    read_count(text).filter(|&n| n == 0 || (n.is_power_of_two() && n <= ACCELS_MAX))
}

fn read_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn read_reachable_addr(text: &str) -> Option<SocketAddr> {
    read_addr(text).filter(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
}

/// A list of values separated by commas.
#[derive(Clone, Debug, PartialEq)]
pub struct List<T>(pub Vec<T>);

impl<'a, T> TryFrom<&'a str> for List<T>
where
    T: TryFrom<&'a str, Error: std::fmt::Display>,
{
    type Error = Error;

    fn try_from(text: &'a str) -> Result<Self> {
        let items = text.split(',').enumerate().map(|(i, part)| {
            let fail = |error: T::Error| Error::Item { item: i + 1, message: error.to_string() };
            T::try_from(part.trim()).map_err(fail)
        });
        items.collect::<Result<_>>().map(Self)
    }
}
