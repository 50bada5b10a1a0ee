//! Messages of frostvale, generated from `proto/` (see `examples/generate.rs`; a test holds both to agree):
//!
//! - [`link`]: the socket between a gatekeeper and its host's agent;
//! - `agent` (with the feature `rls`): what operators ask of an agent;
//! - `envoy` (with the feature `rls`): Envoy's rate limit service, as its public API defines it
//!   (`envoy/service/ratelimit/v3/rls.proto`), trimmed to what is used.

/// The socket between a gatekeeper and its host's agent.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod link {
    include!("gen/frostvale.link.v1.rs");
}

/// What operators ask of an agent.
#[cfg(feature = "rls")]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod agent {
    include!("gen/frostvale.agent.v1.rs");
}

/// Envoy's public API, as far as the rate limit service uses it.
#[cfg(feature = "rls")]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod envoy {
    /// Of `envoy.config.core`.
    pub mod config {
        /// Of `envoy.config.core`.
        pub mod core {
            /// `envoy.config.core.v3`.
            pub mod v3 {
                include!("gen/envoy.config.core.v3.rs");
            }
        }
    }
    /// Of `envoy.extensions`.
    pub mod extensions {
        /// Of `envoy.extensions.common`.
        pub mod common {
            /// Of `envoy.extensions.common.ratelimit`.
            pub mod ratelimit {
                /// `envoy.extensions.common.ratelimit.v3`.
                pub mod v3 {
                    include!("gen/envoy.extensions.common.ratelimit.v3.rs");
                }
            }
        }
    }
    /// Of `envoy.service`.
    pub mod service {
        /// Of `envoy.service.ratelimit`.
        pub mod ratelimit {
            /// `envoy.service.ratelimit.v3`.
            pub mod v3 {
                include!("gen/envoy.service.ratelimit.v3.rs");
            }
        }
    }
}

/// The descriptors of the rate limit service, for gRPC reflection.
#[cfg(feature = "rls")]
pub const RLS_DESCRIPTORS: &[u8] = include_bytes!("gen/rls.bin");
