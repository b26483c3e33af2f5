//! A TCP proxy between two processes that injects delays, stalls, resets and partitions.

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

/// Size of the buffer for one read, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// `Fault` is the fault that a link injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault: bytes are forwarded at once.
    #[default]
    None,
    /// Each read is forwarded after this delay; later reads queue behind it.
    Delay(Duration),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Bytes to the target are held until the fault ends; bytes from the target pass.
    Outward,
    /// Bytes from the target are held until the fault ends; bytes to the target pass.
    Inward,
    /// Bytes in both directions are held until the fault ends; connections stay open.
    Silent,
}

/// `State` holds the faults and cuts of a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct State {
    fault: Fault,
    /// Whether all connections are closed, new ones as soon as they are accepted.
    cut: bool,
    /// Source addresses whose connections alone are closed.
    cut_sources: BTreeSet<IpAddr>,
    /// Number of times that all open connections went silent for good.
    silenced: u64,
}

impl State {
    fn is_cut(&self, source: IpAddr) -> bool {
        self.cut || self.cut_sources.contains(&source)
    }
}

/// `Link` is a proxy in front of one target; dropping it closes its connections and its listener.
#[derive(Debug)]
pub struct Link {
    /// Address that the link listens on.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<State>,
}

impl Link {
    /// Starts a link without a target, which closes every new connection.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no loopback port can be bound.
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

    /// Sets the target of new connections; open connections keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Replaces the injected fault.
    pub fn fault(&self, fault: Fault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Closes all connections, and new ones as soon as they are accepted; `false` ends such a cut.
    pub fn cut(&self, all: bool) {
        self.state.send_modify(|state| state.cut = all);
    }

    /// Closes the connections from one source address, and new ones as soon as they are accepted.
    pub fn cut_from(&self, source: IpAddr) {
        self.state.send_modify(|state| {
            state.cut_sources.insert(source);
        });
    }

    /// Forwards nothing more on the connections that are open, without closing them; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.silenced += 1);
    }

    /// Ends the injected fault and all cuts; connections that are silent for good remain so.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            *state = State {
                silenced: state.silenced,
                ..State::default()
            };
        });
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
                // Fails if the client has disconnected before it was accepted.
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
    // With zero linger, dropping the socket sends a reset.
    let _ = socket.set_zero_linger();
    if states.borrow().fault == Fault::Reset {
        return;
    }
    let silenced = states.borrow().silenced;
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Best effort: without TCP_NODELAY only the latency of small packets grows.
    let _ = (socket.set_nodelay(true), outbound.set_nodelay(true));
    let ((from_client, to_client), (from_target, to_target)) =
        (socket.into_split(), outbound.into_split());
    let outward = relay(
        from_client,
        to_target,
        states.clone(),
        Fault::Outward,
        silenced,
    );
    let inward = relay(
        from_target,
        to_client,
        states.clone(),
        Fault::Inward,
        silenced,
    );
    let cut = async {
        // The loop also ends when the link has been dropped.
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

/// Forwards one direction until either side closes it. `direction` is the fault that holds it, and
/// the connection is silent for good once [`State::silenced`] differs from `silenced`.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<State>,
    direction: Fault,
    silenced: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            // Propagates both an orderly close and an error as an end of stream.
            let _ = to.shutdown().await;
            return;
        };
        let fault = states.borrow().fault;
        if let Fault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        let passes = |state: &State| {
            let is_held = state.fault == direction || state.fault == Fault::Silent;
            !is_held && state.silenced == silenced
        };
        if states.wait_for(passes).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
