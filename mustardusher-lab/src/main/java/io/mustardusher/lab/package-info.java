/** The laboratory's command line. */
package io.mustardusher.lab;
