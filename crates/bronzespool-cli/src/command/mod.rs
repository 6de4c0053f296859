//! The commands of the command line.

mod center;
mod check;
mod fit;
mod job;
mod pack;
mod publish;
mod report;
mod trace;

use {
    crate::{
        args::{AT_VARIABLE, Args, Command},
        client::Client,
        error::{Error, Result},
        output::Output,
    },
    serde_json::json,
    std::io::Write,
};

/// Runs a command. Progress messages for a person are written to `notes` while it runs.
///
/// # Errors
///
/// Returns the reason if the command failed or its outcome is unknown.
pub async fn execute(args: Args, notes: &mut impl Write) -> Result<Output> {
    let client = || entry_client(&args);
    match &args.command {
        Command::Help(command) => {
            crate::args::help::help_text(command.as_deref()).map(Output::text)
        }
        Command::Check { paths, deployment } => check::run(paths, deployment.as_deref()),
        Command::Publish(publish) => publish::run(client()?, publish, notes).await,
        Command::Status => client()?.get("/v1/status").await.map(Output::value),
        Command::Jobs => client()?.get("/v1/jobs").await.map(Output::value),
        Command::Explain(job) => {
            client()?.get(&format!("/v1/jobs/{job}/explain")).await.map(Output::value)
        }
        Command::Drain(instance) => {
            let path = format!("/v1/instances/{instance}/drain");
            client()?.post(&path, &json!({})).await.map(Output::value)
        }
        Command::ChangeCenter(order) => center::run(client()?, order).await,
        Command::Cancel(jobs) => job::cancel(client()?, jobs).await,
        Command::Report(page) => report::run(client()?, page.as_ref()).await,
        Command::Trace { id, files } => trace::run(id, files),
    }
}

fn entry_client(args: &Args) -> Result<Client> {
    let missing =
        || Error::Usage(format!("no entry instance given: use --at IP:PORT or {AT_VARIABLE}"));
    Ok(Client::new(args.at.ok_or_else(missing)?, args.timeout))
}
