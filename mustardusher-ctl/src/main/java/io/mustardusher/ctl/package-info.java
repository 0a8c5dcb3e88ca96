/** The {@code musherctl} command line, which queries nodes, changes the catalogue and analyses node logs. */
package io.mustardusher.ctl;
