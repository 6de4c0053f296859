//! The platform's machine service, as its pages describe it: each machine is beside an agent, so that it
//! is `busy` for an upkeep.

use {
    crate::{
        http::{Answer, Request},
        json::quote,
        record::Record,
        worker::Worker,
    },
    std::sync::Arc,
};

/// The machines of a deployment.
pub struct Machines {
    workers: Vec<Arc<Worker>>,
    record: Record,
}

impl Machines {
    pub fn new(workers: Vec<Arc<Worker>>, record: &Record) -> Arc<Self> {
        Arc::new(Self { workers, record: record.clone() })
    }

    pub fn answer(&self, request: &Request) -> Answer {
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/-/machines") => Some((200, self.list())),
            ("POST", "/-/machine-upkeep") => {
                self.record.line(&format!("platform: upkeep {} answered busy", request.body));
                Some((409, r#"{"reason":"busy"}"#.to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn list(&self) -> String {
        let row = |w: &Arc<Worker>| {
            format!(
                r#"{{"machine":{},"pool":"desk","state":"up","zone":"z1","labels":["a","r1-1"],"capacity":{{"cpu":64000,"mem_mb":131072,"gpu":8}},"id":{}}}"#,
                quote(&w.machine),
                quote(&w.id())
            )
        };
        let rows: Vec<String> = self.workers.iter().map(row).collect();
        format!(r#"{{"machines":[{}],"next_token":null}}"#, rows.join(","))
    }
}
