//! Tests that metrics reach StatsD under their documented names.

use std::{collections::BTreeSet, net::UdpSocket, time::Duration};

use mimosavane::{
    ingress::metrics::Exposition,
    observe::{
        build,
        telemetry::{
            self, BUILD, CALL_TIME, CALLS_ANSWERED, HOSTS_LIVE, METRICS, Metrics, TelemetryError,
        },
    },
    settings::TelemetrySettings,
};

#[test]
fn page_is_current() {
    let page = std::fs::read_to_string("docs/METRICS.md").unwrap();
    assert_eq!(page, telemetry::page(), "run cargo run --example pages");
}

#[test]
fn names_differ() {
    let names: BTreeSet<&str> = METRICS.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), METRICS.len());
}

#[test]
fn sent_datagrams() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let settings = TelemetrySettings {
        statsd_address: socket.local_addr().unwrap().to_string(),
        ..TelemetrySettings::default()
    };
    let metrics = Metrics::start(&settings, &"entry-1".into()).unwrap();
    metrics.count(CALLS_ANSWERED, 2);
    metrics.gauge(HOSTS_LIVE, 12);
    metrics.time(CALL_TIME, Duration::from_millis(5));
    metrics.mark_build(BUILD);
    let build = format!(
        "mimosavane.build.info:1|g|#host:entry-1,version:{},sources:{}",
        build::VERSION,
        build::SOURCES,
    );
    let expected = [
        "mimosavane.calls.answered_count:2|c|#host:entry-1",
        "mimosavane.hosts.live_count:12|g|#host:entry-1",
        "mimosavane.calls.time_ms:5|ms|#host:entry-1",
        &*build,
    ];
    for line in expected {
        let mut buffer = [0; 512];
        let length = socket.recv(&mut buffer).unwrap();
        assert_eq!(std::str::from_utf8(&buffer[..length]).unwrap().trim(), line);
    }
}

/// Guards against a run whose record does not show which sources it played.
#[test]
fn served_build() {
    let exposition = Exposition::default();
    Metrics::with_sink(exposition.clone()).mark_build(BUILD);
    let line = format!(
        "mimosavane_build_info{{version=\"{}\",sources=\"{}\"}} 1",
        build::VERSION,
        build::SOURCES,
    );
    let page = exposition.page();
    assert!(page.lines().any(|served| served == line), "{page}");
    assert!(build::NAME.contains(build::SOURCES));
    assert_eq!(build::SOURCES.len(), 16);
}

#[test]
fn wrong_settings() {
    let settings = TelemetrySettings {
        statsd_address: "nowhere".to_owned(),
        log_filter: "[".to_owned(),
        ..TelemetrySettings::default()
    };
    let error = Metrics::start(&settings, &"entry-1".into()).unwrap_err();
    assert!(matches!(error, TelemetryError::Address { .. }));
    let error = telemetry::start_logs(&settings).unwrap_err();
    assert!(matches!(error, TelemetryError::Filter(_)));
}
