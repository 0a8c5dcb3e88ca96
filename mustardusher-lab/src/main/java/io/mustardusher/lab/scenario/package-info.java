/** Scripted scenarios: what happens when, and what must hold at the end. */
package io.mustardusher.lab.scenario;
