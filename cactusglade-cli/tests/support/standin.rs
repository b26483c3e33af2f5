//! Stand-ins in processes of their own.

use std::net::SocketAddr;
use std::process::Command;

use cactusglade_link::link::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CALL_TIMEOUT;
use super::Process;
use super::TOOL;

/// A stand-in in a process of its own.
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
            address: address.expect("it prints its address"),
        }
    }

    /// Tells it something through its control path.
    pub async fn control(&self, path: &str, message: &impl Serialize) {
        control(self.address, path, message).await;
    }

    /// Reads something from its control path.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        let client = Client::new(self.address, CALL_TIMEOUT);
        let answer = client
            .call("GET", &format!("/control/{path}"), Vec::new())
            .await;
        let body = answer.expect("the stand-in answers").body;
        serde_json::from_slice(&body).expect("it is what is asked for")
    }
}

async fn control(address: SocketAddr, path: &str, message: &impl Serialize) {
    let body = serde_json::to_vec(message).expect("it can be written");
    let client = Client::new(address, CALL_TIMEOUT);
    let answer = client.call("POST", &format!("/control/{path}"), body).await;
    assert_eq!(answer.expect("the stand-in answers").status, 200);
}
