//! Texts of the settings files of all roles.

use {crate::cluster::plan::Plan, std::net::SocketAddr};

/// Name and location of a process.
pub(super) struct Location<'a> {
    pub(super) instance: &'a str,
    pub(super) region: &'a str,
    pub(super) center: &'a str,
    pub(super) rack: &'a str,
}

fn process_section(plan: &Plan, role: &str, location: &Location<'_>) -> String {
    format!(
        "[process]\nrole = {role}\ninstance = {}\nregion = {}\ncenter = {}\nrack = {}\nlog = {}\n",
        location.instance, location.region, location.center, location.rack, plan.log
    )
}

fn timing_section(plan: &Plan) -> String {
    if plan.timing.is_empty() {
        return String::new();
    }
    format!("\n[timing]\n{}\n", plan.timing)
}

fn join(hubs: &[SocketAddr]) -> String {
    hubs.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

pub(super) fn control(
    plan: &Plan,
    location: &Location<'_>,
    data: &str,
    listen: SocketAddr,
    peers: &[(String, SocketAddr)],
) -> String {
    let peers: Vec<_> = peers.iter().map(|(name, address)| format!("{name}@{address}")).collect();
    let peers = peers.join(", ");
    let process = process_section(plan, "control", location);
    let timing = timing_section(plan);
    let reserve = &plan.reserve;
    format!(
        "{process}data = {data}\n\n[control]\nlisten = {listen}\npeers = {peers}\n\
         reserve = {reserve}\n{timing}"
    )
}

pub(super) fn entry(
    plan: &Plan,
    location: &Location<'_>,
    listen: SocketAddr,
    hubs: &[SocketAddr],
) -> String {
    let process = process_section(plan, "entry", location);
    let timing = timing_section(plan);
    format!("{process}\n[entry]\nlisten = {listen}\ncontrol = {}\n{timing}", join(hubs))
}

/// Addresses of an agent.
pub(super) struct AgentAddresses {
    pub(super) listen: SocketAddr,
    pub(super) endpoint: SocketAddr,
    pub(super) worker: SocketAddr,
}

pub(super) fn agent(
    plan: &Plan,
    location: &Location<'_>,
    addresses: &AgentAddresses,
    hubs: &[SocketAddr],
) -> String {
    let c = plan.capacity;
    let process = process_section(plan, "agent", location);
    let AgentAddresses { listen, endpoint, worker } = addresses;
    format!(
        "{process}\n[agent]\nlisten = {listen}\nendpoint = {endpoint}\nworker = {worker}\n\
         control = {}\nservice = {}\nslots = {}\nconnections = {}\ncores = {}\n\
         memory = {}MiB\naccelerators = {}\n{}",
        join(hubs),
        plan.services.join(", "),
        c.slots,
        c.connections,
        c.cores,
        c.memory,
        c.accels,
        timing_section(plan)
    )
}
