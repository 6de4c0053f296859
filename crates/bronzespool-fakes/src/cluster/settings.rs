//! Settings files of the processes.

use {crate::cluster::plan::Plan, std::net::SocketAddr};

/// Where a process stands.
pub(super) struct Stand<'a> {
    pub(super) instance: &'a str,
    pub(super) region: &'a str,
    pub(super) center: &'a str,
    pub(super) rack: &'a str,
}

fn head(plan: &Plan, role: &str, stand: &Stand<'_>) -> String {
    format!(
        "[process]\nrole = {role}\ninstance = {}\nregion = {}\ncenter = {}\nrack = {}\nlog = {}\n",
        stand.instance, stand.region, stand.center, stand.rack, plan.log
    )
}

fn tail(plan: &Plan) -> String {
    if plan.timing.is_empty() {
        return String::new();
    }
    format!("\n[timing]\n{}\n", plan.timing)
}

fn list(hubs: &[SocketAddr]) -> String {
    hubs.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

pub(super) fn control(
    plan: &Plan,
    stand: &Stand<'_>,
    data: &str,
    listen: SocketAddr,
    peers: &[(String, SocketAddr)],
) -> String {
    let peers: Vec<_> = peers.iter().map(|(name, address)| format!("{name}@{address}")).collect();
    let peers = peers.join(", ");
    let head = head(plan, "control", stand);
    let tail = tail(plan);
    let reserve = &plan.reserve;
    format!(
        "{head}data = {data}\n\n[control]\nlisten = {listen}\npeers = {peers}\n\
         reserve = {reserve}\n{tail}"
    )
}

pub(super) fn entry(
    plan: &Plan,
    stand: &Stand<'_>,
    listen: SocketAddr,
    hubs: &[SocketAddr],
) -> String {
    let head = head(plan, "entry", stand);
    let tail = tail(plan);
    format!("{head}\n[entry]\nlisten = {listen}\ncontrol = {}\n{tail}", list(hubs))
}

/// Addresses of an agent.
pub(super) struct AgentAddresses {
    pub(super) listen: SocketAddr,
    pub(super) endpoint: SocketAddr,
    pub(super) worker: SocketAddr,
}

pub(super) fn agent(
    plan: &Plan,
    stand: &Stand<'_>,
    addresses: &AgentAddresses,
    hubs: &[SocketAddr],
) -> String {
    let c = plan.capacity;
    let head = head(plan, "agent", stand);
    let AgentAddresses { listen, endpoint, worker } = addresses;
    format!(
        "{head}\n[agent]\nlisten = {listen}\nendpoint = {endpoint}\nworker = {worker}\n\
         control = {}\nservice = {}\nslots = {}\nconnections = {}\ncores = {}\n\
         memory = {}MiB\naccelerators = {}\n{}",
        list(hubs),
        plan.services.join(", "),
        c.slots,
        c.connections,
        c.cores,
        c.memory,
        c.accels,
        tail(plan)
    )
}
