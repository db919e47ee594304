//! Stand-ins and tools for the cases of the review: hosts as real processes, upstreams,
//! clients, and the record of what was sent, answered and run.

pub mod client;
pub mod hosts;
pub mod jobs;
pub mod record;
pub mod upstream;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};

use anyhow::{Context as _, Result, bail};
use mimosavane::platform::standin::Store;
use tokio::{
    net::TcpListener,
    signal::{
        ctrl_c,
        unix::{SignalKind, signal},
    },
    task::LocalSet,
    time::sleep,
};

use crate::record::Record;

/// The value of the `Host` header of all requests.
pub const AUTHORITY: &str = "review.example";

/// The longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(115);

/// The loopback addresses of one deployment: one address per machine, as on the platform.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Chooses a part of the loopback range at random, so that its ports are free.
    pub fn choose() -> Self {
        Self {
            second: rand::random_range(10..250),
            third: rand::random_range(1..250),
        }
    }

    /// Returns the address of a machine.
    pub fn machine(&self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.second, self.third, number).into()
    }

    /// Listens at a port of a machine.
    pub async fn listen(&self, number: u8, port: u16) -> Result<TcpListener> {
        let address = SocketAddr::new(self.machine(number), port);
        TcpListener::bind(address)
            .await
            .with_context(|| format!("listening at {address}"))
    }

    /// Starts the platform's store.
    pub async fn store(&self) -> Result<(Store, SocketAddr)> {
        let listener = self.listen(1, 8142).await?;
        let address = listener.local_addr()?;
        Ok((Store::start(listener), address))
    }
}

/// Returns whether the case injects its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case, writes its record, and returns 0 if the rule held, 1 if it was broken and 2
/// if the case could not run.
pub fn run_case<F>(case: impl FnOnce(Rc<Record>) -> F) -> ExitCode
where
    F: Future<Output = Result<bool>>,
{
    let record = Rc::new(Record::default());
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    // Dropping the case ends the processes that it started.
    let bounded = async {
        let mut stop = signal(SignalKind::terminate()).context("listening for signals")?;
        tokio::select! {
            result = case(record.clone()) => result,
            () = sleep(MAX_TIME) => bail!("it takes too long"),
            _ = stop.recv() => bail!("it was stopped"),
            _ = ctrl_c() => bail!("it was stopped"),
        }
    };
    let result = runtime.block_on(LocalSet::new().run_until(bounded));
    let (verdict, code) = match &result {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error:#}"), 2),
    };
    record.add("verdict", &verdict);
    println!("{verdict}");
    if let Some(path) = std::env::args_os().nth(1)
        && let Err(error) = std::fs::write(&path, record.text())
    {
        eprintln!("error: writing {}: {error}", path.display());
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
