//! Cancellation of jobs.

use {
    crate::{
        client::Client,
        error::{Exit, Result},
        output::Output,
    },
    bronzespool::core::name::Job,
    serde_json::{Value, json},
};

/// Cancels each job, also after one of them could not be cancelled.
pub(super) async fn cancel(client: Client, jobs: &[Job]) -> Result<Output> {
    let mut exit = Exit::Done;
    let mut rows = Vec::new();
    for job in jobs {
        let state = match client.delete(&format!("/v1/jobs/{job}")).await {
            Ok(_) => "cancelled".to_owned(),
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
