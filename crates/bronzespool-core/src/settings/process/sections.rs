//! Reads the sections of process settings.

use {
    super::{
        AgentSettings, ControlSettings, EntrySettings, Peer, ProcessSettings, Role,
        schema::{ACCELS_MAX, PEERS_MAX},
        value::{Folder, Reserve},
    },
    crate::{
        name::{Instance, Service},
        place::{Capacity, Place},
        settings::{
            document::Document,
            reader::SectionReader,
            timing::Timing,
            value::{Addr, Count, List, Memory, Positive, ReachableAddr, Span},
        },
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

pub(super) fn read_process_section(mut reader: SectionReader<'_>) -> Option<ProcessSettings> {
    let role = reader.get::<Role>("role");
    let cluster = reader.get("cluster");
    let instance = reader.get("instance");
    let region = reader.get("region");
    let center = reader.get("center");
    let rack = reader.get("rack");
    let log = reader.get("log");
    let data = reader.optional::<Folder>("data");
    let grace = reader.get::<Span>("grace");
    let memory = reader.get::<Memory>("memory");
    let (role, data) = (role?, data?);
    if role.includes(Role::Control) && data.is_none() {
        reader
            .push_fault("data", "is missing: name a folder on a disk of this instance".to_owned());
    }
    let place = Place { region: region?, center: center?, rack: rack?, instance: instance? };
    Some(ProcessSettings {
        role,
        cluster: cluster?,
        place,
        log: log?,
        data: data.map(|folder| folder.0),
        grace: grace?.0,
        memory: memory?.0,
        control: None,
        entry: None,
        agent: None,
        timing: Timing::default(),
    })
}

pub(super) fn read_control(
    mut reader: SectionReader<'_>,
    identity: Option<&(Role, Instance)>,
) -> Option<ControlSettings> {
    let listen = reader.get("listen").and_then(|addr| reachable_listen(&mut reader, addr));
    let peers = reader.optional::<List<Peer>>("peers");
    let reserve = reader.get::<Reserve>("reserve");
    let run_times = reader.get("run-times");
    let overload = reader.get("overload");
    let instance = &identity?.1;
    let (listen, peers) = (listen?, peers?);
    let only_self = || vec![Peer { instance: instance.clone(), addr: listen }];
    let peers = peers.map_or_else(only_self, |list| list.0);
    if let Some(message) = check_peers(&peers, instance) {
        reader.push_fault("peers", message);
    }
    let (run_times, overload) = (run_times?, overload?);
    Some(ControlSettings { listen, peers, reserve: reserve?.0, run_times, overload })
}

fn check_peers(peers: &[Peer], instance: &Instance) -> Option<String> {
    let names: BTreeSet<_> = peers.iter().map(|peer| &peer.instance).collect();
    let addrs: BTreeSet<_> = peers.iter().map(|peer| peer.addr).collect();
    if names.len() < peers.len() {
        return Some("name an instance twice: keep one of each".to_owned());
    }
    if addrs.len() < peers.len() {
        return Some("name an address twice: each instance has its own".to_owned());
    }
    if !names.contains(instance) {
        return Some(format!("do not name this instance: add '{instance}@ip:port'"));
    }
    let too_many = peers.len() > PEERS_MAX;
    too_many.then(|| format!("are {}: at most {PEERS_MAX} are allowed", peers.len()))
}

/// Rejects a wildcard address, since other processes cannot connect to it.
fn reachable_listen(reader: &mut SectionReader<'_>, addr: Addr) -> Option<SocketAddr> {
    if addr.0.ip().is_unspecified() {
        let message =
            format!("{} is no address for others: write this instance's IP number", addr.0);
        reader.push_fault("listen", message);
        return None;
    }
    Some(addr.0)
}

pub(super) fn read_entry(
    mut reader: SectionReader<'_>,
    document: &Document,
) -> Option<EntrySettings> {
    let listen = reader.get::<Addr>("listen");
    let operators = reader.optional::<Addr>("operators");
    let control = read_control_addrs(&mut reader, document);
    let operators = operators?.map(|addr| addr.0);
    Some(EntrySettings { listen: listen?.0, operators, control: control? })
}

pub(super) fn read_agent(
    mut reader: SectionReader<'_>,
    document: &Document,
) -> Option<AgentSettings> {
    let listen = reader.get("listen").and_then(|addr| reachable_listen(&mut reader, addr));
    let endpoint = reader.get::<ReachableAddr>("endpoint");
    let worker = reader.optional::<ReachableAddr>("worker");
    let control = read_control_addrs(&mut reader, document);
    let services = reader.get::<List<Service>>("service");
    let capacity = read_capacity(&mut reader);
    Some(AgentSettings {
        listen: listen?,
        endpoint: endpoint?.0,
        worker: worker?.map(|addr| addr.0),
        control: control?,
        services: services?.0,
        capacity: capacity?,
    })
}

/// Reads the capacity of an endpoint instance.
pub(in crate::settings) fn read_capacity(reader: &mut SectionReader<'_>) -> Option<Capacity> {
    let slots = reader.get::<Positive>("slots");
    let connections = reader.get::<Positive>("connections");
    let cores = reader.get::<Positive>("cores");
    let memory = reader.get::<Memory>("memory");
    let accels = reader.get::<Count>("accelerators");
    let accels = accels?.0;
    if accels > ACCELS_MAX {
        reader
            .push_fault("accelerators", format!("are {accels}: at most {ACCELS_MAX} are allowed"));
    }
    Some(Capacity {
        slots: slots?.0,
        connections: connections?.0,
        cores: cores?.0,
        memory: memory?.0,
        accels,
    })
}

/// Addresses of the control instances that a process connects to: those in its own section, or else
/// the listen address of the `[control]` section of the same file.
fn read_control_addrs(
    reader: &mut SectionReader<'_>,
    document: &Document,
) -> Option<Vec<SocketAddr>> {
    if let Some(list) = reader.optional::<List<ReachableAddr>>("control")? {
        return Some(list.0.into_iter().map(|addr| addr.0).collect());
    }
    let section = document.section("control");
    let listen = section.and_then(|section| section.entry("listen"));
    let own_listen = listen.and_then(|entry| Addr::try_from(entry.value.as_str()).ok());
    if own_listen.is_none() {
        reader.push_fault("control", "is missing: name the control instances".to_owned());
    }
    own_listen.map(|addr| vec![addr.0])
}
