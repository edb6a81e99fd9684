// Package wharffollower follows the changes of a store table across outages and loss of the change history.
package wharffollower
