/** What a gate lets through to its backend server, in which order, and what it refuses before anything ran. */
package io.mustardusher.admission;
