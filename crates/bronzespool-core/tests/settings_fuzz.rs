//! Settings parsers on arbitrary text: they report faults and never panic.

use {
    arbtest::{arbitrary, arbtest},
    bronzespool_core::settings::{
        Deployment, Document, ServiceFile, merge_services, parse_process, parse_service,
    },
};

/// Number of texts that each test tries.
const ROUNDS: u64 = 400;
/// Random bytes from which each text is generated.
const ENTROPY: u64 = 1_024;

/// Section headers.
const HEADERS: &[&str] = &[
    "service",
    "kind a",
    "team b",
    "process",
    "control",
    "entry",
    "agent",
    "timing",
    "deployment",
    "worker",
    "center c",
    "kind",
    "",
    "é",
];

/// Keys of all sections.
const KEYS: &[&str] = &[
    "name",
    "mode",
    "protected",
    "deadline",
    "body",
    "cores",
    "memory",
    "accelerators",
    "gang",
    "adjacent",
    "checkpoint",
    "restart",
    "target",
    "within",
    "guarantee",
    "rate",
    "role",
    "listen",
    "peers",
    "control",
    "reserve",
    "racks",
    "heartbeat",
    "session",
    "completion",
    "",
    ";",
    "𝄞",
];

/// Numbers at the limits of their types, and malformed ones.
const NUMBERS: &[&str] =
    &["0", "1", "64", "65", "4294967295", "18446744073709551615", "99.9", "1e9", "-1", "", "٣"];

/// Suffixes of values.
const ENDS: &[&str] = &[
    "",
    "ms",
    "h",
    "KiB",
    "TiB",
    "%",
    ".5",
    " x worker",
    " x block-64",
    ".0.0.1:7100",
    "@1.2.3.4:5",
    ", 2",
    ",",
    " ; note",
    "\0",
    "\t",
    "é",
    "\u{feff}",
];

/// A line that resembles a section header or a key, or arbitrary text.
fn line(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<String> {
    let end = u.choose(&["\n", "\n", "\n", "\r\n", "\r", ""])?;
    let line = match u.int_in_range(0..=9)? {
        0 => format!("[{}]", u.choose(HEADERS)?),
        1 => u.arbitrary::<String>()?,
        2 => format!("[{}", u.choose(HEADERS)?),
        3 => format!("{}={}", u.choose(KEYS)?, u.arbitrary::<char>()?),
        _ => format!("{} = {}{}", u.choose(KEYS)?, u.choose(NUMBERS)?, u.choose(ENDS)?),
    };
    Ok(line + end)
}

fn text(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<String> {
    let mut text = String::new();
    while !u.is_empty() {
        text.push_str(&line(u)?);
    }
    Ok(text)
}

/// Runs `check` on texts that are generated from fixed seeds.
fn fuzz(check: impl Fn(&str)) {
    for round in 0..ROUNDS {
        let seed = (round + 1) << 32 | ENTROPY;
        arbtest(|u| {
            check(&text(u)?);
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn parse_service_any_text_does_not_panic() {
    fuzz(|text| {
        let Err(faults) = parse_service("f.ini", text) else { return };
        assert!(!faults.is_empty());
        let last = u32::try_from(text.split(['\n', '\r']).count()).unwrap();
        assert!(faults.iter().all(|fault| fault.line <= last && !fault.message.is_empty()));
    });
}

#[test]
fn parse_service_valid_text_with_one_change_does_not_panic() {
    let whole = include_str!("../../../examples/cooperative/flight-desk/service.ini");
    for round in 0..ROUNDS {
        arbtest(|u| {
            let mut text: Vec<char> = whole.chars().collect();
            let start = u.choose_index(text.len())?;
            let end = (start + u.int_in_range(0..=8_usize)?).min(text.len());
            let line = line(u)?;
            text.splice(start..end, line.chars());
            let text: String = text.into_iter().collect();
            let source = ServiceFile { path: "f.ini".to_owned(), text };
            let _ = merge_services(&[source.clone(), source]).unwrap_err();
            Ok(())
        })
        .seed((round + 1) << 32 | 64);
    }
}

#[test]
fn parse_process_any_text_does_not_panic() {
    fuzz(|text| {
        let head = "[process]\nrole = all\ninstance = a\nregion = b\ncenter = c\nrack = d\n";
        let _ = parse_process("f.ini", text);
        let _ = parse_process("f.ini", &format!("{head}{text}"));
    });
}

#[test]
fn deployment_any_text_does_not_panic() {
    fuzz(|text| {
        if let Ok(deployment) = Deployment::try_from(&Document::parse("f.ini", text)) {
            let _ = deployment.places();
        }
    });
}
