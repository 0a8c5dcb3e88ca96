/** HTTP interface of a node for operators, and for the announcements of its backend server. */
package io.mustardusher.admin;
