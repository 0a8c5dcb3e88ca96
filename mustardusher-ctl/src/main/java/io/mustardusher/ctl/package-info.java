/** The operators' command line. */
package io.mustardusher.ctl;
