//! A forwarder between two processes that can be cut, for all sources or for some.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Who is cut off.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Cut {
    all: bool,
    sources: BTreeSet<IpAddr>,
}

impl Cut {
    fn covers(&self, source: IpAddr) -> bool {
        self.all || self.sources.contains(&source)
    }
}

/// One direction between processes; dropping it ends its tasks.
pub struct Link {
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    cut: watch::Sender<Cut>,
}

impl Link {
    pub fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("it can be bound");
        listener.set_nonblocking(true).expect("it is a socket");
        let address = listener.local_addr().expect("it is bound");
        let listener = TcpListener::from_std(listener).expect("it is a socket");
        let (target, targets) = watch::channel(None);
        let (cut, cuts) = watch::channel(Cut::default());
        tokio::spawn(accept(listener, targets, cuts));
        Self {
            address,
            target,
            cut,
        }
    }

    pub fn lead_to(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    pub fn cut(&self, all: bool) {
        self.cut.send_modify(|cut| cut.all = all);
    }

    pub fn cut_from(&self, source: IpAddr) {
        self.cut.send_modify(|cut| {
            cut.sources.insert(source);
        });
    }

    pub fn heal(&self) {
        self.cut.send_replace(Cut::default());
    }
}

async fn accept(
    listener: TcpListener,
    targets: watch::Receiver<Option<SocketAddr>>,
    mut cuts: watch::Receiver<Cut>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((socket, source)) = accepted else { continue };
                let target = *targets.borrow();
                if let Some(target) = target {
                    tokio::spawn(forward(socket, source.ip(), target, cuts.clone()));
                }
            }
            changed = cuts.changed() => if changed.is_err() { return },
        }
    }
}

async fn forward(
    mut socket: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    mut cuts: watch::Receiver<Cut>,
) {
    if cuts.borrow().covers(source) {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = socket.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    let cut = async {
        // A link that was dropped is cut too.
        while cuts.changed().await.is_ok() && !cuts.borrow().covers(source) {}
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut socket, &mut onward) => {}
        () = cut => {}
    }
}
