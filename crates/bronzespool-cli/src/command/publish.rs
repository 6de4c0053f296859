//! `publish`: sends one change of the configuration and retries it after a lost response.

use {
    crate::{
        args::Publish,
        client::Client,
        error::{Error, Exit, Result},
        output::Output,
    },
    bronzespool::core::settings::read_services,
    serde_json::{Value, json},
    std::{io::Write, time::Duration},
    tokio::time::sleep,
};

/// Path of the configuration in the operators' interface.
const CONFIG_PATH: &str = "/v1/config";
/// Largest number of times that a change is sent, the first included.
const SEND_ATTEMPTS_MAX: u32 = 3;
/// Delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Checks the files and sends them as one change.
///
/// All attempts carry the same operation id, so that the change is applied at most once.
pub(super) async fn run(
    client: Client,
    publish: &Publish,
    notes: &mut impl Write,
) -> Result<Output> {
    let (config, files) = if publish.paths.is_empty() {
        Default::default()
    } else {
        read_services(&publish.paths).map_err(Error::Faults)?
    };
    let op = publish.op.clone().unwrap_or_else(new_operation_id);
    let mut names: Vec<_> = config.services.keys().map(ToString::to_string).collect();
    names.extend(publish.remove.iter().map(|name| format!("remove {name}")));
    let _ = writeln!(notes, "operation {op}: {}", names.join(", "));
    let mut body = json!({ "base": publish.base, "op": op, "files": files, "wait": publish.wait });
    if !publish.remove.is_empty() {
        body["removed"] = json!(publish.remove);
    }
    match send_with_retries(client, &body, notes).await {
        Ok(value) => Ok(accepted_output(value, publish.wait, &op)),
        Err(error) if error.exit() == Exit::Unknown => Err(with_retry_advice(error, publish, &op)),
        Err(error) => Err(error),
    }
}

fn new_operation_id() -> String {
    format!("op-{:016x}", fastrand::u64(..))
}

/// Sends the change until its outcome is known or the attempts are used up. A refusal that says
/// nothing about an earlier attempt leaves the outcome unknown.
async fn send_with_retries(client: Client, body: &Value, notes: &mut impl Write) -> Result<Value> {
    let unknown = match client.post(CONFIG_PATH, body).await {
        Err(error) if error.exit() == Exit::Unknown => error,
        other => return other,
    };
    for _ in 1..SEND_ATTEMPTS_MAX {
        let _ = writeln!(notes, "no outcome yet: sending the same operation again");
        sleep(RETRY_DELAY).await;
        match client.post(CONFIG_PATH, body).await {
            Err(error) if error.is_inconclusive() => {}
            other => return other,
        }
    }
    Err(unknown)
}

/// Adds the command line that repeats the change under the same operation id.
fn with_retry_advice(error: Error, publish: &Publish, op: &str) -> Error {
    let base = publish.base.map_or_else(String::new, |base| format!(" --base {base}"));
    let wait = if publish.wait { " --wait" } else { "" };
    let paths: Vec<_> = publish.paths.iter().map(|path| path.display().to_string()).collect();
    let mut paths = paths.join(" ");
    for name in &publish.remove {
        paths.push_str(&format!(" --remove {name}"));
    }
    let advice = format!(
        "{error}\nrepeat it to learn its outcome: bronzespool publish {paths}{base} --op {op}{wait}"
    );
    Error::WithAdvice { advice, error: Box::new(error) }
}

/// Output for an accepted change, which may not be in force everywhere yet.
fn accepted_output(value: Value, wait: bool, op: &str) -> Output {
    let revision = &value["revision"];
    let (exit, text) = match (value["in_force"] == json!(true), wait) {
        (true, _) => (Exit::Done, "is in force everywhere"),
        (false, false) => (Exit::Done, "is accepted; --wait returns when it is in force"),
        (false, true) => (Exit::Pending, "is accepted, but not yet in force everywhere"),
    };
    Output { text: format!("revision {revision} {text}"), json: with_op(value, op), exit }
}

fn with_op(mut value: Value, op: &str) -> Value {
    if let Some(map) = value.as_object_mut() {
        map.insert("op".to_owned(), json!(op));
    }
    value
}
