/** Client accounts: their keys, priorities and limits. */
package io.mustardusher.account;
