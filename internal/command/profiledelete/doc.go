// Package profiledelete implements the command "figpier profile delete".
package profiledelete
