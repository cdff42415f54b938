// Package scaletest runs the control plane of a large cluster on one machine and measures what it costs. Many hollow nodes share a
// process. They run the code of a real node but accept no requests. Real nodes and voters run as processes of their own. The
// discovery service, the cache servers and the origin are simulated. docs/scale.md describes the test.
package scaletest
