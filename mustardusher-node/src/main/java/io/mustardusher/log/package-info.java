/** Numbered log events and how they are written. */
package io.mustardusher.log;
