/** The operators' interface of a node, and the announcements of its backend server. */
package io.mustardusher.admin;
