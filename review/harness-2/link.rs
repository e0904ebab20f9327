//! A link between a VM and a replica, which may be cut.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a link checks whether it is cut.
const POLL: Duration = Duration::from_millis(2);

pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::new(ip.into(), 0), target)
    }

    /// Starts a link that listens on an address.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            let mut open = Vec::new();
            while !cut.load(Ordering::Relaxed) {
                let Ok((client, _)) = listener.accept() else {
                    thread::sleep(POLL);
                    continue;
                };
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _blocking = client.set_nonblocking(false);
                for (from, to) in [(&client, &server), (&server, &client)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        thread::spawn(move || copy(from, to).ok());
                    }
                }
                open.push([client, server]);
            }
            for stream in open.iter().flatten() {
                let _closed = stream.shutdown(Shutdown::Both);
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Closes open connections and refuses new ones.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) -> io::Result<()> {
    to.set_nodelay(true)?;
    let mut buffer = [0; 8 << 10];
    loop {
        let count = from.read(&mut buffer)?;
        if count == 0 {
            return to.shutdown(Shutdown::Write);
        }
        to.write_all(&buffer[..count])?;
    }
}

/// Forwards the datagrams for a VM, until it is told to drop them. VM `from` sends them to `entry`; they
/// go on to `target`, from an address of VM `from`.
pub fn forward_datagrams(
    from: Ipv4Addr,
    entry: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
) -> io::Result<()> {
    let receiver = UdpSocket::bind(entry)?;
    let sender = UdpSocket::bind((from, 0))?;
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok((length, _)) = receiver.recv_from(&mut buffer) {
            if !is_cut.load(Ordering::Relaxed) {
                let _lost = sender.send_to(&buffer[..length], target);
            }
        }
    });
    Ok(())
}
