//! Protocol Buffers messages of frostvale, generated from `proto/` by `examples/generate.rs`. A test verifies
//! that the generated code is up to date.
//!
//! - [`link`]: messages on the socket between a gatekeeper and its host's agent;
//! - `agent` (with the feature `rls`): the operators' interface of an agent;
//! - `envoy` (with the feature `rls`): Envoy's rate limit service, as its public API defines it
//!   (`envoy/service/ratelimit/v3/rls.proto`), reduced to the parts in use.

/// Messages on the socket between a gatekeeper and its host's agent.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod link {
    include!("gen/frostvale.link.v1.rs");
}

/// The operators' interface of an agent.
#[cfg(feature = "rls")]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod agent {
    include!("gen/frostvale.agent.v1.rs");
}

/// The parts of Envoy's public API that the rate limit service uses.
#[cfg(feature = "rls")]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod envoy {
    /// Package `envoy.config`.
    pub mod config {
        /// Package `envoy.config.core`.
        pub mod core {
            /// Package `envoy.config.core.v3`.
            pub mod v3 {
                include!("gen/envoy.config.core.v3.rs");
            }
        }
    }
    /// Package `envoy.extensions`.
    pub mod extensions {
        /// Package `envoy.extensions.common`.
        pub mod common {
            /// Package `envoy.extensions.common.ratelimit`.
            pub mod ratelimit {
                /// Package `envoy.extensions.common.ratelimit.v3`.
                pub mod v3 {
                    include!("gen/envoy.extensions.common.ratelimit.v3.rs");
                }
            }
        }
    }
    /// Package `envoy.service`.
    pub mod service {
        /// Package `envoy.service.ratelimit`.
        pub mod ratelimit {
            /// Package `envoy.service.ratelimit.v3`.
            pub mod v3 {
                include!("gen/envoy.service.ratelimit.v3.rs");
            }
        }
    }
}

/// Serialized file descriptors of the rate limit service, for gRPC reflection.
#[cfg(feature = "rls")]
pub const RLS_DESCRIPTORS: &[u8] = include_bytes!("gen/rls.bin");
