//! Stand-ins in separate processes.

use std::net::SocketAddr;
use std::process::Command;

use cactusglade_link::link::Answer;
use cactusglade_link::link::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CALL_TIMEOUT;
use super::Process;
use super::TOOL;

/// A stand-in in its own process.
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
}

impl Standin {
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(TOOL);
        command.arg("standin").args(arguments);
        let mut process = Process::start(command);
        let line = process.wait_line("listening on ");
        let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
        Self {
            process,
            address: address.expect("the stand-in prints its address"),
        }
    }

    /// Sends a JSON message to one of its control paths.
    pub async fn control(&self, path: &str, message: &impl Serialize) {
        let body = serde_json::to_vec(message).expect("the message can be encoded");
        let answer = self.call("POST", path, body).await;
        assert_eq!(answer.status, 200);
    }

    /// Reads a JSON value from one of its control paths.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        let answer = self.call("GET", path, Vec::new()).await;
        serde_json::from_slice(&answer.body).expect("the body decodes to the expected type")
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> Answer {
        let client = Client::new(self.address, CALL_TIMEOUT);
        let answer = client.call(method, &format!("/control/{path}"), body).await;
        // The state tells a stand-in that has ended or is stopped from one that is slow.
        answer.unwrap_or_else(|error| {
            let state = self.process.state();
            panic!("the stand-in does not answer {method} {path}: {error:?}; process state {state}")
        })
    }
}
