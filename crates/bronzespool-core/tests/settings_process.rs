//! Parsing and validation of process settings.

use {
    bronzespool_core::{
        Level, Shape,
        settings::{Fault, LogLevel, Role, RunTimes, Timing, parse_process},
    },
    std::time::Duration,
};

const PLACE: &str = "instance = one\nregion = bengal\ncenter = sundarban\nrack = r1\n";
const CONTROL: &str = "[control]\nlisten = 10.0.0.1:7100\n";
const ENTRY: &str = "[entry]\nlisten = 0.0.0.0:8080\n";
const AGENT: &str = "[agent]\nlisten = 10.0.0.1:7200\nendpoint = 127.0.0.1:9000\n\
                     service = permit-desk, audit\ncores = 64\nmemory = 128GiB\n";
const CONTROL_ADDRS: &str = "control = 10.0.0.1:7100, 10.0.0.2:7100\n";

fn process_section(role: &str) -> String {
    format!("[process]\nrole = {role}\n{PLACE}")
}

fn faults(text: &str) -> Vec<Fault> {
    parse_process("p.ini", text).unwrap_err().0
}

/// Asserts that there is exactly one fault and returns its text.
fn only_fault(text: &str) -> String {
    let faults = faults(text);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults[0].to_string()
}

#[test]
fn parse_process_control_reads_peers() {
    let peers = "peers = one@10.0.0.1:7100, two@10.0.0.2:7100, three@10.0.0.3:7100\n";
    let text = format!("{}data = /var/lib/spool\n{CONTROL}{peers}", process_section("control"));
    let settings = parse_process("p.ini", &text).unwrap();
    let control = settings.control.unwrap();
    assert_eq!(settings.role, Role::Control);
    assert_eq!(control.peers.len(), 3);
    assert_eq!(control.peers[1].instance.as_str(), "two");
    assert_eq!(control.reserve, Some(Shape::new(Level::Worker, 1)));
    assert_eq!((settings.log, settings.grace), (LogLevel::Info, Duration::from_secs(20)));
}

#[test]
fn parse_process_entry_reads_addresses() {
    let text =
        format!("{}{ENTRY}{CONTROL_ADDRS}operators = 10.0.0.1:8081\n", process_section("entry"));
    let entry = parse_process("p.ini", &text).unwrap().entry.unwrap();
    assert_eq!(entry.control.len(), 2);
    assert_eq!(entry.operators, Some("10.0.0.1:8081".parse().unwrap()));
}

#[test]
fn parse_process_agent_reads_capacity() {
    let text = format!("{}{AGENT}{CONTROL_ADDRS}accelerators = 8\n", process_section("agent"));
    let agent = parse_process("p.ini", &text).unwrap().agent.unwrap();
    assert_eq!((agent.capacity.slots, agent.capacity.connections), (8, 64));
    assert_eq!((agent.capacity.cores, agent.capacity.memory), (64, 131_072));
    assert_eq!((agent.capacity.accels, agent.services.len()), (8, 2));
    assert_eq!(agent.worker, None);
}

#[test]
fn parse_process_all_connects_to_itself() {
    let text = format!("{}data = run\n{CONTROL}{ENTRY}{AGENT}", process_section("all"));
    let settings = parse_process("p.ini", &text).unwrap();
    let own = "10.0.0.1:7100".parse().unwrap();
    assert_eq!(settings.entry.unwrap().control, [own]);
    assert_eq!(settings.agent.unwrap().control, [own]);
    assert_eq!(settings.control.unwrap().peers[0].addr, own);
}

#[test]
fn parse_process_role_without_section_is_fault() {
    assert!(only_fault(&process_section("entry")).contains("[entry]: is missing"));
}

#[test]
fn parse_process_section_of_other_role_is_fault() {
    let text = format!("{}{ENTRY}{CONTROL_ADDRS}{AGENT}{CONTROL_ADDRS}", process_section("entry"));
    assert!(only_fault(&text).contains("is not for this role"));
}

#[test]
fn parse_process_control_without_data_is_fault() {
    assert!(
        only_fault(&format!("{}{CONTROL}", process_section("control")))
            .contains("[process] data: is missing")
    );
}

#[test]
fn parse_process_without_control_addresses_is_fault() {
    let fault = only_fault(&format!("{}{ENTRY}", process_section("entry")));
    assert!(fault.contains("[entry] control: is missing"), "{fault}");
}

#[test]
fn parse_process_bad_addresses_are_faults_with_lines() {
    let text = "[entry]\nlisten = localhost:80\noperators = 10.0.0.1:99999\ncontrol = 0.0.0.0:1\n";
    let lines: Vec<u32> =
        faults(&format!("{}{text}", process_section("entry"))).iter().map(|f| f.line).collect();
    assert_eq!(lines, [8, 9, 10]);
}

#[test]
fn parse_process_listen_that_others_cannot_reach_is_fault() {
    let text = format!("{}{AGENT}{CONTROL_ADDRS}", process_section("agent"))
        .replace("10.0.0.1:7200", "[::]:7200");
    assert!(only_fault(&text).contains("write this instance's IP number"));
}

#[test]
fn parse_process_bad_peers_are_faults() {
    let fault_with = |peers: &str| {
        only_fault(&format!("{}data = d\n{CONTROL}peers = {peers}\n", process_section("control")))
    };
    assert!(fault_with("one@10.0.0.1:1, one@10.0.0.2:1").contains("an instance twice"));
    assert!(fault_with("one@10.0.0.1:1, two@10.0.0.1:1").contains("an address twice"));
    assert!(fault_with("two@10.0.0.1:1").contains("add 'one@ip:port'"));
    assert!(fault_with("one@10.0.0.1:1, two").contains("item 2 of the list"));
    let many: Vec<String> = (0..8).map(|i| format!("c{i}@10.0.0.{i}:1")).collect();
    assert!(fault_with(&format!("one@10.0.1.1:1, {}", many.join(", "))).contains("at most 7"));
}

#[test]
fn parse_process_reserve_none_is_no_shape() {
    let text = format!("{}data = d\n{CONTROL}reserve = none\n", process_section("control"));
    assert_eq!(parse_process("p.ini", &text).unwrap().control.unwrap().reserve, None);
}

#[test]
fn parse_process_timing_reads_and_keeps_defaults() {
    let text =
        format!("{}{ENTRY}{CONTROL_ADDRS}[timing]\nsession = 5s\n", process_section("entry"));
    let timing = parse_process("p.ini", &text).unwrap().timing;
    assert_eq!(timing, Timing { session: Duration::from_secs(5), ..Timing::default() });
    assert_eq!(timing.heartbeat, Duration::from_millis(160));
}

#[test]
fn parse_process_timing_that_contradicts_itself_is_fault() {
    let fault_with = |line: &str| {
        only_fault(&format!("{}{ENTRY}{CONTROL_ADDRS}[timing]\n{line}\n", process_section("entry")))
    };
    assert!(fault_with("heartbeat = 500ms").contains("a third of 'election'"));
    assert!(fault_with("renew = 2s").contains("half of 'session'"));
    assert!(fault_with("answers = 721h").contains("all of 'horizon'"));
    assert!(fault_with("probe = 0s").contains("is zero"));
}

#[test]
fn parse_process_role_mistyped_names_roles() {
    assert!(
        faults(&process_section("agents"))[0].to_string().contains("control, entry, agent, all")
    );
}

#[test]
fn parse_process_run_times_are_declared_or_learned() {
    let parse = |line: &str| {
        let text = format!("{}data = d\n{CONTROL}{line}\n", process_section("control"));
        parse_process("p.ini", &text).map(|s| s.control.unwrap().run_times)
    };
    assert_eq!(parse(""), Ok(RunTimes::Declared));
    assert_eq!(parse("run-times = declared"), Ok(RunTimes::Declared));
    assert_eq!(parse("run-times = learned"), Ok(RunTimes::Learned));
    let faults = parse("run-times = guessed").unwrap_err().to_string();
    assert!(faults.contains("is not one of declared, learned"), "{faults}");
}
