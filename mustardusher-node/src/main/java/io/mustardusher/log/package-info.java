/** Numbered log events, their format and their output. */
package io.mustardusher.log;
