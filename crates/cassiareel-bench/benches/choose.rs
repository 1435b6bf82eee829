//! Time to choose a backend server.
use criterion::{criterion_group, criterion_main, Criterion};

fn choose(c: &mut Criterion) {
    c.bench_function("noop", |b| b.iter(|| 1 + 1));
}

criterion_group!(benches, choose);
criterion_main!(benches);
