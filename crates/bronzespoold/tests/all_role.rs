//! Runs the three roles in one process, as for trials and embedding.

use {
    bronzespool_fakes::{
        call::Call,
        cluster::{Process, Result, Signal, free_address, program},
    },
    serde_json::json,
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

const POLL_PAUSE: Duration = Duration::from_millis(25);
const WAIT_MAX: Duration = Duration::from_secs(60);
const SERVICE_FILE: &str = "[service]\nname = desk\n[kind check]\nmode = request\n\
    [kind ledger]\nmode = request\nprotected = yes\n[team club]\nrate = 10\n";

struct Addresses {
    entry: SocketAddr,
    endpoint: SocketAddr,
}

fn settings(folder: &Path, addresses: &Addresses) -> String {
    let (control, agent) = (free_address(), free_address());
    let data = folder.join("data");
    format!(
        "[process]\nrole = all\ninstance = one\nregion = r\ncenter = c\nrack = k\ndata = {}\n\
         [control]\nlisten = {control}\npeers = one@{control}\nreserve = none\n\
         [entry]\nlisten = {}\ncontrol = {control}\n\
         [agent]\nlisten = {agent}\nendpoint = {}\ncontrol = {control}\nservice = desk\n\
         slots = 4\nconnections = 8\ncores = 4\nmemory = 1GiB\naccelerators = 0\n",
        data.display(),
        addresses.entry,
        addresses.endpoint
    )
}

fn start(folder: &Path, addresses: &Addresses) -> Result<(Process, Process)> {
    let log = folder.join("log");
    let endpoint = ["--name", "e", "--listen", &addresses.endpoint.to_string()];
    let endpoint = endpoint.map(ToOwned::to_owned);
    let endpoint = Process::start(&program("fake-endpoint"), &endpoint, &log)?;
    let file = folder.join("all.ini");
    fs::write(&file, settings(folder, addresses))?;
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    Ok((endpoint, Process::start(&program("bronzespoold"), &arguments, &log)?))
}

async fn wait_up(entry: SocketAddr) -> Result<()> {
    let end = Instant::now() + WAIT_MAX;
    while Instant::now() < end {
        if let Ok(answer) = Call::get("/v1/status").send(entry).await
            && answer.json()["endpoints"][0]["presence"] == "up"
        {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    Err("the process was not up in time".into())
}

#[tokio::test]
async fn run_all_roles_serves_and_keeps_its_state() -> Result<()> {
    let folder = TempDir::new()?;
    let addresses = Addresses { entry: free_address(), endpoint: free_address() };
    let (_endpoint, mut daemon) = start(folder.path(), &addresses)?;
    wait_up(addresses.entry).await?;
    let files = json!([{ "path": "service.ini", "text": SERVICE_FILE }]);
    let body = json!({ "base": 0, "op": "op-1", "files": files, "wait": true });
    let published = Call::post("/v1/config", &body).send(addresses.entry).await?;
    assert_eq!(published.json()["in_force"], true, "{}", published.json());
    let ledger = Call::post("/v1/services/desk/ledger", &json!({ "n": 1 }))
        .header("team", "club")
        .header("idempotency-key", "k-1");
    let first = ledger.send(addresses.entry).await?;
    assert_eq!(first.code(), 1000, "{}", first.json());
    daemon.signal(Signal::TERM)?;
    let end = Instant::now() + WAIT_MAX;
    while daemon.ended()?.is_none() {
        assert!(Instant::now() < end, "the daemon did not stop");
        sleep(POLL_PAUSE).await;
    }
    assert!(daemon.ended()?.is_some_and(|status| status.success()));
    daemon.restart()?;
    wait_up(addresses.entry).await?;
    let again = ledger.send(addresses.entry).await?;
    assert_eq!(again.body, first.body, "the stored answer instead of a second run");
    Ok(())
}
