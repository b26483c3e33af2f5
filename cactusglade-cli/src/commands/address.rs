//! Socket addresses as command-line arguments.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;

/// `Address` is an `IP:PORT` argument; the argument parser requires a [`Default`] for it.
#[derive(Clone, Copy, Debug)]
pub struct Address(pub SocketAddr);

impl Default for Address {
    fn default() -> Self {
        Self(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}

impl FromStr for Address {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
