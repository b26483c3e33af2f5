//! A forwarder between two processes that can be delayed, silenced, reset or cut.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// `Fault` is what a link does to the bytes on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each buffer waits for this time; those behind it wait with it.
    Delay(Duration),
    /// Open connections are reset, and new ones at once.
    Reset,
    /// What goes to the target is held until the fault ends; answers pass.
    Outward,
    /// Requests pass; what comes back is held until the fault ends.
    Inward,
    /// Both directions are held until the fault ends.
    Silent,
}

/// State of a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct State {
    fault: Fault,
    /// Whether connections end and no new ones are made.
    cut: bool,
    /// Sources that are cut off alone.
    cut_sources: BTreeSet<IpAddr>,
}

impl State {
    fn is_cut(&self, source: IpAddr) -> bool {
        self.cut || self.cut_sources.contains(&source)
    }
}

/// `Link` is one way between processes; dropping it ends its tasks.
#[derive(Debug)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<State>,
}

impl Link {
    /// Starts a link that leads nowhere yet.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub fn try_new() -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (target, targets) = watch::channel(None);
        let (state, states) = watch::channel(State::default());
        tokio::spawn(accept(listener, targets, states));
        Ok(Self {
            address,
            target,
            state,
        })
    }

    /// Leads new connections to a target.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets what is done to the bytes from now on.
    pub fn fault(&self, fault: Fault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Ends all connections and makes none, or lifts that again.
    pub fn cut(&self, all: bool) {
        self.state.send_modify(|state| state.cut = all);
    }

    /// Cuts one source off.
    pub fn cut_from(&self, source: IpAddr) {
        self.state.send_modify(|state| {
            state.cut_sources.insert(source);
        });
    }

    /// Ends all faults and cuts.
    pub fn heal(&self) {
        self.state.send_replace(State::default());
    }
}

async fn accept(
    listener: TcpListener,
    targets: watch::Receiver<Option<SocketAddr>>,
    mut states: watch::Receiver<State>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // A caller that has gone away again needs no way.
                let Ok((socket, source)) = accepted else { continue };
                let target = *targets.borrow();
                if let Some(target) = target {
                    tokio::spawn(forward(socket, source.ip(), target, states.clone()));
                }
            }
            changed = states.changed() => if changed.is_err() { return },
        }
    }
}

async fn forward(
    socket: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    mut states: watch::Receiver<State>,
) {
    if states.borrow().is_cut(source) {
        return;
    }
    // The end of this task then resets the connection.
    let _ = socket.set_zero_linger();
    if states.borrow().fault == Fault::Reset {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Without it only the delay of small packets grows.
    let _ = (socket.set_nodelay(true), outbound.set_nodelay(true));
    let ((from_client, to_client), (from_target, to_target)) =
        (socket.into_split(), outbound.into_split());
    let outward = relay(from_client, to_target, states.clone(), Fault::Outward);
    let inward = relay(from_target, to_client, states.clone(), Fault::Inward);
    let cut = async {
        // A link that was dropped is cut too.
        while states.changed().await.is_ok() {
            let state = states.borrow();
            if state.is_cut(source) || state.fault == Fault::Reset {
                return;
            }
        }
    };
    tokio::select! {
        _ = async { tokio::join!(outward, inward) } => {}
        () = cut => {}
    }
}

/// Passes one direction on until either side ends it.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<State>,
    direction: Fault,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            // The other side learns of the end, whichever it is.
            let _ = to.shutdown().await;
            return;
        };
        let fault = states.borrow().fault;
        if let Fault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        let passes = |state: &State| state.fault != direction && state.fault != Fault::Silent;
        if states.wait_for(passes).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
