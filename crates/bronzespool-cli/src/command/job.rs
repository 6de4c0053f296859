//! `cancel`: cancels jobs.

use {
    crate::{
        client::Client,
        error::{Exit, Result},
        output::Output,
    },
    bronzespool::core::{Code, name::Job},
    serde_json::{Value, json},
};

/// Cancels each job and continues after a failure. The exit code is that of the first failure.
pub(super) async fn cancel(client: Client, jobs: &[Job]) -> Result<Output> {
    let mut exit = Exit::Done;
    let mut rows = Vec::new();
    for job in jobs {
        let state = match client.delete(&format!("/v1/jobs/{job}")).await {
            Ok(view) => job_state(&view),
            Err(error) => {
                if exit == Exit::Done {
                    exit = error.exit();
                }
                error.to_string()
            }
        };
        rows.push(json!({ "job": job, "state": state }));
    }
    Ok(Output { exit, ..Output::value(Value::Array(rows)) })
}

/// State of a job after its cancellation. The job may have ended before the cancellation arrived.
fn job_state(view: &Value) -> String {
    let code = view["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    match code.map(Code::try_from) {
        Some(Ok(Code::Cancelled)) => "cancelled".to_owned(),
        Some(Ok(code)) => format!("ended before: {code}"),
        _ => view["phase"].as_str().unwrap_or("unknown").to_owned(),
    }
}
