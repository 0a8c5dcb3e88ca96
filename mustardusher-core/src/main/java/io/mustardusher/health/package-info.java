/** Health of backend servers as seen in traffic, and calls suspected of crashing them. */
package io.mustardusher.health;
